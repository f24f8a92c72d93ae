#include "Entry/RequestTraits.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

namespace {

struct RequestTraitsFixture
{
    Common::WorkspaceId workspace = Common::WorkspaceId("w1");
    CallerRequest request;

    RequestTraitsFixture()
    {
        this->request.id = "attempt-1";
        this->request.host = "a.example";
        this->request.method = "GET";
        this->request.target = "/safe/x";
        this->request.path = "/safe/x";
        this->request.key = "key-1";
    }

    // Whether the two requests have a trait in common.
    static bool shareTrait(const std::vector<Quarantine::Trait> &a,
                           const std::vector<Quarantine::Trait> &b)
    {
        for (const Quarantine::Trait trait : a) {
            if (std::find(b.begin(), b.end(), trait) != b.end())
                return true;
        }
        return false;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestTraits, RequestTraitsFixture)

BOOST_AUTO_TEST_CASE(repeatedRequest_hasTheSameTraits)
{
    const auto before = traitsOf(this->request, this->workspace);
    this->request.id = "attempt-2";
    BOOST_TEST((traitsOf(this->request, this->workspace) == before));
}

// Guards against a request that is acquitted by another caller's request with the same path.
BOOST_AUTO_TEST_CASE(samePathOfAnotherWorkspace_sharesNoTrait)
{
    const auto before = traitsOf(this->request, this->workspace);
    this->request.key = "key-2";
    BOOST_TEST(!shareTrait(before, traitsOf(this->request, Common::WorkspaceId("w2"))));
}

// An endpoint cannot tell the keys of one workspace apart, but the callers that use them may send
// other headers.
BOOST_AUTO_TEST_CASE(otherKeyOfTheWorkspace_sharesTheContentOfTheWorkspaceOnly)
{
    const auto before = traitsOf(this->request, this->workspace);
    this->request.key = "key-2";
    const auto after = traitsOf(this->request, this->workspace);
    BOOST_TEST(shareTrait(before, after));
    BOOST_TEST((before != after));
}

BOOST_AUTO_TEST_CASE(otherBody_sharesNoTrait)
{
    const auto before = traitsOf(this->request, this->workspace);
    this->request.body = "body";
    BOOST_TEST(!shareTrait(before, traitsOf(this->request, this->workspace)));
}

BOOST_AUTO_TEST_CASE(prompt_hasItsSharedPartsAndItsContent)
{
    this->request.prompt.parts = {{"first", 10}, {"session", 5}, {"own", 3}};
    const auto traits = traitsOf(this->request, this->workspace);
    BOOST_REQUIRE(traits.size() == 3u);
    BOOST_TEST(!Quarantine::isContent(traits[0]));
    BOOST_TEST(!Quarantine::isContent(traits[1]));
    BOOST_TEST(Quarantine::isContent(traits[2]));
    BOOST_TEST(traitNamesOf(this->request, this->workspace).size() == traits.size());
}

BOOST_AUTO_TEST_CASE(namesForLogs_doNotContainTheKey)
{
    for (const std::string &name : traitNamesOf(this->request, this->workspace))
        BOOST_TEST(name.find("key-1") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
