#include "Entry/StreamMessages.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

namespace {

struct StreamMessagesFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(1000));
    StreamMessage message{StreamMessageKind::Found, 7, "9c41d07be2a35f68", {}};

    StreamMessagesFixture()
    {
        this->message.origin = {"app",
                                "v1.1",
                                Common::EndpointId("e1"),
                                17,
                                this->now - std::chrono::seconds(2),
                                this->now + std::chrono::seconds(9)};
    }

    std::optional<StreamMessage> sent(const StreamMessage &made) const
    {
        const std::string text = boost::json::serialize(toJson(made, this->now));
        return readStreamMessage(boost::json::parse(text), this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamMessagesSuite, StreamMessagesFixture)

BOOST_AUTO_TEST_CASE(origin_writtenAndRead_isTheSame)
{
    for (const StreamMessageKind kind : {StreamMessageKind::Began, StreamMessageKind::Found}) {
        this->message.kind = kind;
        const auto read = this->sent(this->message);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((read->kind == kind));
        BOOST_TEST(read->number == 7u);
        BOOST_TEST(read->attempt == "9c41d07be2a35f68");
        BOOST_TEST(read->origin.service == "app");
        BOOST_TEST(read->origin.version == "v1.1");
        BOOST_TEST(read->origin.endpoint.value == "e1");
        BOOST_TEST(read->origin.incarnation == 17u);
        BOOST_TEST((read->origin.sentAt == this->message.origin.sentAt));
        BOOST_TEST((read->origin.expiresAt == this->message.origin.expiresAt));
    }
}

// Guards against a doubted end that other instances do not learn of, and against one that an
// instance of an earlier release makes up, since it does not send the field.
BOOST_AUTO_TEST_CASE(origin_doubtedEnd_isReadIfItWasSent)
{
    for (const std::optional<std::uint64_t> end :
         {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0),
          std::optional<std::uint64_t>(28)}) {
        this->message.origin.doubtedEnd = end;
        const auto read = this->sent(this->message);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST((read->origin.doubtedEnd == end));
    }
    this->message.origin.isStated = true;
    boost::json::array earlier = toJson(this->message, this->now);
    // Without the fields of this and the next release.
    earlier.resize(12);
    const auto read = readStreamMessage(earlier, this->now);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(!read->origin.doubtedEnd);
    BOOST_TEST(read->origin.isVersionKnown);
}

// Guards against a stream of two processes whose version an instance takes for known that is told
// of it, also one of an earlier release, which does not read the last field.
BOOST_AUTO_TEST_CASE(origin_contradicted_isTheSame)
{
    Serving::StreamOrigins origins;
    this->message.origin.isStated = true;
    Serving::addOrigin(origins, "a", this->message.origin, this->now);
    this->message.origin.version = "v2";
    this->message.origin.endpoint = Common::EndpointId("e2");
    Serving::addOrigin(origins, "a", this->message.origin, this->now);
    this->message.origin = origins.byAttempt.at("a");
    const auto read = this->sent(this->message);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->origin.isContradicted);
    BOOST_TEST(!read->origin.isVersionKnown);
    BOOST_TEST(read->origin.version.empty());
    boost::json::array earlier = toJson(this->message, this->now);
    for (const std::size_t size : {17u, 15u, 14u, 11u, 9u}) {
        earlier.resize(size);
        const auto known = readStreamMessage(earlier, this->now);
        BOOST_REQUIRE(known.has_value());
        BOOST_TEST(!known->origin.isContradicted);
        BOOST_TEST(!known->origin.isStated);
        BOOST_TEST(!known->origin.isVersionKnown);
        BOOST_TEST(known->origin.incarnation == 0u);
    }
}

// Guards against an endpoint that went on with a stream nobody knew, taken for the one that began
// it, also by an instance of an earlier release.
BOOST_AUTO_TEST_CASE(origin_presumed_isTheSame)
{
    this->message.origin.isStated = true;
    this->message.origin.lastBegunEvent = 5;
    this->message.origin = Serving::presumedOrigin(this->message.origin);
    const auto read = this->sent(this->message);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->origin.isPresumed);
    BOOST_TEST(!read->origin.isContradicted);
    BOOST_TEST(!read->origin.isVersionKnown);
    BOOST_TEST(read->origin.lastBegunEvent == 5u);
    boost::json::array earlier = toJson(this->message, this->now);
    for (const std::size_t size : {18u, 17u, 15u, 14u, 11u, 9u}) {
        earlier.resize(size);
        const auto known = readStreamMessage(earlier, this->now);
        BOOST_REQUIRE(known.has_value());
        BOOST_TEST(!known->origin.isPresumed);
        BOOST_TEST(!known->origin.isStated);
        BOOST_TEST(!known->origin.isVersionKnown);
        BOOST_TEST(known->origin.incarnation == 0u);
    }
}

// Guards against a process that has stated its start time being taken for one that has not.
BOOST_AUTO_TEST_CASE(origin_statedByItsProcess_isTheSame)
{
    this->message.kind = StreamMessageKind::Began;
    this->message.origin.isStated = true;
    this->message.origin.isVersionKnown = false;
    const auto read = this->sent(this->message);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->origin.isStated);
    BOOST_TEST(!read->origin.isVersionKnown);
}

// Instances of earlier releases do not send these members, and take what the list named for
// certain: guards against a version that belongs to the process before.
BOOST_AUTO_TEST_CASE(origin_ofAnEarlierRelease_isReadAsListedAndNotConfirmed)
{
    const auto read = readStreamMessage(
        boost::json::parse(R"(["began",0,"a",9000,"app","v1","e1",17,2000])"), this->now);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(!read->origin.isStated);
    BOOST_TEST(!read->origin.isVersionKnown);
    BOOST_TEST(read->origin.version == "v1");
    BOOST_TEST(read->origin.incarnation == 17u);
    BOOST_TEST((read->origin.connectedBy == this->now));
}

// Guards against a stream whose process is not certain, and that counts as certain at an instance
// that is told of it.
BOOST_AUTO_TEST_CASE(origin_notConfirmed_isTheSame)
{
    this->message.origin.isVersionKnown = false;
    this->message.origin.connectedBy = this->now - std::chrono::seconds(1);
    const auto read = this->sent(this->message);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(!read->origin.isStated);
    BOOST_TEST(!read->origin.isVersionKnown);
    BOOST_TEST(read->origin.version == "v1.1");
    BOOST_TEST(read->origin.incarnation == 17u);
    BOOST_TEST((read->origin.connectedBy == this->message.origin.connectedBy));
    const boost::json::array fields = toJson(this->message, this->now);
    // What instances of earlier releases look up in the list.
    BOOST_TEST(fields[7].to_number<std::uint64_t>() == 0u);
    BOOST_TEST(fields[5].get_string() != "v1.1");
}

BOOST_AUTO_TEST_CASE(question_writtenAndRead_isTheSame)
{
    this->message.kind = StreamMessageKind::Find;
    const auto read = this->sent(this->message);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->kind == StreamMessageKind::Find));
    BOOST_TEST((read->origin.expiresAt == this->message.origin.expiresAt));
}

BOOST_AUTO_TEST_CASE(message_invalid_isRejected)
{
    for (const char *invalid :
         {"1", "[]", "{}", R"(["find",1,"a"])", R"(["other",1,"a",1])", R"(["find",-1,"a",1])",
          R"(["find",1,"",1])", R"([1,1,"a",1])", R"(["began",0,"a",1])",
          R"(["began",0,"a",1,"s",1,"e",1,1])", R"(["found",0,"a",1,"s","v","e",-1,1])"})
        BOOST_TEST(!readStreamMessage(boost::json::parse(invalid), this->now).has_value(), invalid);
}

BOOST_AUTO_TEST_CASE(history_writtenAndRead_isTheSame)
{
    Routing::VersionHistory history{{}, this->now - std::chrono::seconds(30)};
    history.byService["app"]["v1"] = this->now - std::chrono::seconds(3);
    const auto read = readVersionHistory(
        boost::json::parse(boost::json::serialize(toJson(history, this->now))), this->now);
    BOOST_TEST((read.completeSince == history.completeSince));
    BOOST_TEST((read.byService == history.byService));
}

// Guards against a history that is complete, and counts as incomplete at the instance that is told.
BOOST_AUTO_TEST_CASE(history_withoutBeginning_staysSo)
{
    const Routing::VersionHistory history{{}, Common::Time::min()};
    const auto read = readVersionHistory(toJson(history, this->now), this->now);
    BOOST_TEST((read.completeSince == Common::Time::min()));
}

BOOST_AUTO_TEST_CASE(history_invalid_tellsNothing)
{
    for (const char *invalid :
         {"1", "{}", R"({"completeMs":5})", R"({"completeMs":-5,"services":{}})",
          R"({"completeMs":0,"services":{"a":[1,[],["v"],["v",-1],[1,1]]}})"}) {
        const auto read = readVersionHistory(boost::json::parse(invalid), this->now);
        BOOST_TEST((read.completeSince == this->now), invalid);
        for (const auto &[service, versions] : read.byService)
            BOOST_TEST(versions.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
