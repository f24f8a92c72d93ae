#include "Pipeline/TokenStream.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Pipeline;

namespace {

struct StreamFixture
{
    TokenStream stream;

    StreamFixture()
    {
        takeToken(this->stream, 0, "a");
        takeToken(this->stream, 1, "b");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TokenStreams, StreamFixture)

BOOST_AUTO_TEST_CASE(token_inOrder_isDelivered)
{
    BOOST_TEST((takeToken(this->stream, 2, "c") == TokenVerdict::Deliver));
    BOOST_TEST(this->stream.count() == 3u);
}

BOOST_AUTO_TEST_CASE(token_takenBefore_isDropped)
{
    BOOST_TEST((takeToken(this->stream, 1, "x") == TokenVerdict::Duplicate));
    BOOST_TEST(this->stream.tokens[1] == "b");
}

BOOST_AUTO_TEST_CASE(token_afterGap_breaksStream)
{
    BOOST_TEST((takeToken(this->stream, 3, "d") == TokenVerdict::Gap));
    BOOST_TEST(this->stream.count() == 2u);
}

BOOST_AUTO_TEST_CASE(end_matchingCountAndDigest_isComplete)
{
    const std::string digest = streamDigest({"a", "b"});
    BOOST_TEST((verifyEnd(this->stream, 2, digest) == EndVerdict::Complete));
}

BOOST_AUTO_TEST_CASE(end_otherCountOrDigest_isTruncated)
{
    const std::string digest = streamDigest({"a", "b"});
    BOOST_TEST((verifyEnd(this->stream, 3, digest) == EndVerdict::Truncated));
    BOOST_TEST((verifyEnd(this->stream, 2, streamDigest({"ab"})) == EndVerdict::Truncated));
}

BOOST_AUTO_TEST_CASE(caller_withTokens_getsOnlyLaterOnes)
{
    this->stream.callerTokenCount = 1;
    BOOST_TEST(!callerNeedsToken(this->stream, 0));
    BOOST_TEST(callerNeedsToken(this->stream, 1));
}

BOOST_AUTO_TEST_SUITE_END()
