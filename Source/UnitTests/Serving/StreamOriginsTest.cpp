#include "Serving/StreamOrigins.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;

namespace {

struct StreamOriginsFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    StreamOrigins origins;

    StreamOrigin origin(const std::string &version, int seconds) const
    {
        StreamOrigin made;
        made.service = "app";
        made.version = version;
        made.endpoint = Common::EndpointId("e1");
        made.incarnation = 7;
        made.sentAt = this->now;
        made.expiresAt = this->now + std::chrono::seconds(seconds);
        return made;
    }

    std::string versionOf(const std::string &attempt)
    {
        const StreamOrigin *found = findOrigin(this->origins, attempt, this->now, this->now);
        return found ? found->version : "";
    }

    // Whether the stream is known, so that nothing else is presumed of it, but not its version.
    bool isContradicted(const std::string &attempt)
    {
        const StreamOrigin *found = findOrigin(this->origins, attempt, this->now, this->now);
        return found && found->isContradicted && !found->isVersionKnown && found->version.empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOriginsSuite, StreamOriginsFixture)

BOOST_AUTO_TEST_CASE(origin_known_isFoundUntilItExpires)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    BOOST_TEST(this->versionOf("a") == "v1");
    this->now += std::chrono::seconds(9);
    BOOST_TEST(this->versionOf("a") == "v1");
    this->now += std::chrono::seconds(2);
    BOOST_TEST(this->versionOf("a") == "");
    BOOST_TEST(this->origins.byAttempt.empty());
    BOOST_TEST(this->origins.byExpiry.empty());
}

// Guards against a chain of tries that outlives the memory of the stream's first one.
BOOST_AUTO_TEST_CASE(origin_takenUpAgain_isKeptForTheNextTry)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    this->now += std::chrono::seconds(9);
    findOrigin(this->origins, "a", this->now + std::chrono::seconds(20), this->now);
    this->now += std::chrono::seconds(15);
    BOOST_TEST(this->versionOf("a") == "v1");
}

// Guards against a stream that cannot be taken up (LOST): an instance that has passed its request
// on knew where it began no more than that it is not complete.
BOOST_AUTO_TEST_CASE(origin_withoutEndpoint_isNoEntryButCompletesOne)
{
    StreamOrigin unknown = this->origin("", 10);
    unknown.service.clear();
    unknown.endpoint = {};
    unknown.lastBegunEvent = 4;
    addOrigin(this->origins, "a", unknown, this->now);
    BOOST_TEST(this->origins.byAttempt.empty());
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    addOrigin(this->origins, "a", unknown, this->now);
    BOOST_TEST(this->versionOf("a") == "v1");
    BOOST_TEST(this->origins.byAttempt.at("a").lastBegunEvent == 4u);
}

// Guards against a stream that goes on at another version (ORDER), as the endpoint that went on
// with it while nobody knew it is taken for the one that began it.
BOOST_AUTO_TEST_CASE(origin_presumed_tellsOfTheEndOnly)
{
    StreamOrigin told = presumedOrigin(this->origin("v1", 10));
    told.lastBegunEvent = 4;
    told.doubtedEnd = 3;
    addOrigin(this->origins, "a", told, this->now);
    const StreamOrigin *found = findOrigin(this->origins, "a", this->now, this->now);
    BOOST_REQUIRE(found);
    BOOST_TEST(found->isPresumed);
    BOOST_TEST(!found->isVersionKnown);
    StreamOrigin begun = this->origin("v2", 10);
    begun.endpoint = Common::EndpointId("e2");
    addOrigin(this->origins, "a", begun, this->now);
    // Whoever has not heard of the beginning tells it again.
    addOrigin(this->origins, "a", told, this->now);
    BOOST_TEST(this->versionOf("a") == "v2");
    found = findOrigin(this->origins, "a", this->now, this->now);
    BOOST_TEST(found->isVersionKnown);
    BOOST_TEST(!found->isPresumed);
    BOOST_TEST(found->lastBegunEvent == 4u);
    BOOST_TEST(found->doubtedEnd.value_or(0) == 3u);
}

// Guards against a stream that goes on at another version (ORDER): its endpoint turns out to have
// been restarted while the instance asks others where the stream began.
BOOST_AUTO_TEST_CASE(search_endpointWasRestartedMeanwhile_findsNothing)
{
    const StreamOrigin found = this->origin("v1", 10);
    addOrigin(this->origins, "a", found, this->now);
    forgetOrigins(this->origins, found.endpoint, found.incarnation, found.sentAt, this->now);
    BOOST_TEST(!latestOrigin(this->origins, "a", found, this->now, this->now));
    StreamOrigin stated = found;
    stated.isStated = true;
    BOOST_TEST(latestOrigin(this->origins, "a", stated, this->now, this->now).has_value());
}

// Guards against an end that is believed (ORDER) as the event behind it was told of during the
// search.
BOOST_AUTO_TEST_CASE(search_laterEventIsToldMeanwhile_findsIt)
{
    const StreamOrigin found = this->origin("v1", 10);
    addOrigin(this->origins, "a", found, this->now);
    StreamOrigin told = found;
    told.lastBegunEvent = 6;
    addOrigin(this->origins, "a", told, this->now);
    const auto latest = latestOrigin(this->origins, "a", found, this->now, this->now);
    BOOST_REQUIRE(latest);
    BOOST_TEST(latest->lastBegunEvent == 6u);
    BOOST_TEST(!latestOrigin(this->origins, "b", std::nullopt, this->now, this->now));
    BOOST_TEST(latestOrigin(this->origins, "b", found, this->now, this->now).has_value());
}

// Guards against a later, wrong report of where a stream began.
BOOST_AUTO_TEST_CASE(origin_addedTwice_theFirstIsKept)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    addOrigin(this->origins, "a", this->origin("v2", 20), this->now);
    BOOST_TEST(this->versionOf("a") == "v1");
    this->now += std::chrono::seconds(15);
    BOOST_TEST(this->versionOf("a") == "v1");
}

// Guards against events of two versions: an instance that has lost its paths has had two others
// begin the stream under the same name, and its caller has the events of the second.
BOOST_AUTO_TEST_CASE(origin_begunAgainAtAnotherVersionsEndpoint_isUnknown)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    this->now += std::chrono::seconds(1);
    StreamOrigin again = this->origin("v2", 10);
    again.endpoint = Common::EndpointId("e2");
    addOrigin(this->origins, "a", again, this->now);
    BOOST_TEST(this->versionOf("a").empty());
}

// The same where one of the two versions is not known: it may be another one.
BOOST_AUTO_TEST_CASE(origin_begunAgainAtAnUnknownVersion_isUnknown)
{
    for (const bool isFirstKnown : {true, false}) {
        const std::string attempt = isFirstKnown ? "known-first" : "known-second";
        StreamOrigin first = this->origin("v1", 10);
        first.isVersionKnown = isFirstKnown;
        StreamOrigin second = this->origin("v1", 10);
        second.incarnation = 8;
        second.isVersionKnown = !isFirstKnown;
        addOrigin(this->origins, attempt, first, this->now);
        addOrigin(this->origins, attempt, second, this->now);
        BOOST_TEST(this->isContradicted(attempt));
    }
}

// Guards against a contradiction that one instance forgets: it has heard of both, and of the first
// one once more, from others that have not.
BOOST_AUTO_TEST_CASE(origin_contradicted_staysUnknownWhateverIsTold)
{
    StreamOrigin first = this->origin("v1", 10);
    first.isStated = true;
    StreamOrigin second = this->origin("v2", 10);
    second.endpoint = Common::EndpointId("e2");
    second.isStated = true;
    addOrigin(this->origins, "a", first, this->now);
    addOrigin(this->origins, "a", second, this->now);
    for (const StreamOrigin &told : {first, second}) {
        addOrigin(this->origins, "a", told, this->now);
        BOOST_TEST(this->isContradicted("a"));
    }
    forgetOrigins(this->origins, first.endpoint, first.incarnation, first.sentAt, this->now);
    forgetOrigins(this->origins, first.endpoint, 0, first.sentAt, this->now);
    BOOST_TEST(this->isContradicted("a"));
    // What is passed on makes it unknown elsewhere, whether the stream is known there or not.
    StreamOrigin passedOn;
    if (const auto *found = findOrigin(this->origins, "a", this->now, this->now))
        passedOn = *found;
    addOrigin(this->origins, "b", first, this->now);
    for (const char *attempt : {"b", "c"}) {
        addOrigin(this->origins, attempt, passedOn, this->now);
        BOOST_TEST(this->isContradicted(attempt));
    }
}

// Guards against a contradiction that is overlooked, as the second process is one of which it is
// not certain that it began the stream: its successor has, then.
BOOST_AUTO_TEST_CASE(origin_begunAgainAtARestartedEndpoint_isUnknown)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    StreamOrigin again = this->origin("v1", 10);
    again.endpoint = Common::EndpointId("e2");
    forgetOrigins(this->origins, again.endpoint, again.incarnation, again.sentAt, this->now);
    addOrigin(this->origins, "a", again, this->now);
    BOOST_TEST(this->isContradicted("a"));
}

// Guards against streams that are refused (LOST) though their version is certain: the same process
// is told of twice, before and after its version was known, or another one has the same version.
BOOST_AUTO_TEST_CASE(origin_toldAgainWithTheSameVersion_isKnown)
{
    StreamOrigin unknown = this->origin("v1", 10);
    unknown.isVersionKnown = false;
    addOrigin(this->origins, "a", unknown, this->now);
    addOrigin(this->origins, "a", unknown, this->now);
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    addOrigin(this->origins, "a", unknown, this->now);
    StreamOrigin other = this->origin("v1", 10);
    other.endpoint = Common::EndpointId("e2");
    addOrigin(this->origins, "a", other, this->now);
    BOOST_TEST(this->versionOf("a") == "v1");
    BOOST_TEST(this->origins.byAttempt.at("a").isVersionKnown);
    // As an instance of an earlier release passes on what is not confirmed.
    StreamOrigin unnamed = unknown;
    unnamed.incarnation = 0;
    addOrigin(this->origins, "a", unnamed, this->now);
    BOOST_TEST(this->versionOf("a") == "v1");
}

// Guards against a doubted end that is forgotten, or confused with that of an earlier try.
BOOST_AUTO_TEST_CASE(origin_addedAgainWithADoubtedEnd_theLastDoubtIsKept)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    for (const std::uint64_t event : {4u, 9u}) {
        StreamOrigin doubted = this->origin("v1", 10);
        doubted.doubtedEnd = event;
        addOrigin(this->origins, "a", doubted, this->now);
    }
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    const StreamOrigin *found = findOrigin(this->origins, "a", this->now, this->now);
    BOOST_REQUIRE(found);
    BOOST_TEST(found->doubtedEnd.value_or(0) == 9u);
}

// Guards against a stream that is cut once more: an instance that has missed the last doubt answers
// with the one before.
BOOST_AUTO_TEST_CASE(origin_addedAgainWithAnEarlierDoubt_theLaterOneIsKept)
{
    for (const std::uint64_t event : {9u, 4u}) {
        StreamOrigin doubted = this->origin("v1", 10);
        doubted.doubtedEnd = event;
        doubted.doubtedEndpoint = Common::EndpointId("e" + std::to_string(event));
        addOrigin(this->origins, "a", doubted, this->now);
    }
    const StreamOrigin *found = findOrigin(this->origins, "a", this->now, this->now);
    BOOST_REQUIRE(found);
    BOOST_TEST(found->doubtedEnd.value_or(0) == 9u);
    BOOST_TEST(found->doubtedEndpoint.value == "e9");
}

// Guards against look-ups of invented attempts that displace streams.
BOOST_AUTO_TEST_CASE(find_inventedAttempts_displaceNothing)
{
    addOrigin(this->origins, "a", this->origin("v1", 10), this->now);
    for (std::size_t i = 0; i < 2 * kMaxStreamOrigins; ++i)
        findOrigin(this->origins, "invented" + std::to_string(i), this->now, this->now);
    BOOST_TEST(this->origins.byAttempt.size() == 1u);
    BOOST_TEST(this->versionOf("a") == "v1");
}

BOOST_AUTO_TEST_CASE(add_moreThanTheLimit_dropsThoseThatExpireFirst)
{
    for (std::size_t i = 0; i < kMaxStreamOrigins; ++i)
        addOrigin(this->origins, "a" + std::to_string(i), this->origin("v1", 100), this->now);
    addOrigin(this->origins, "short", this->origin("v1", 1), this->now);
    BOOST_TEST(this->origins.byAttempt.size() == kMaxStreamOrigins);
    BOOST_TEST(this->versionOf("short") == "");
    BOOST_TEST(this->versionOf("a0") == "v1");
}

// Guards against an endpoint that started again under its id, so that a stream that was sent there
// before the list showed it may have begun at the new process.
BOOST_AUTO_TEST_CASE(forget_restartedEndpoint_forgetsOnlyWhatTheNewProcessMayHaveBegun)
{
    addOrigin(this->origins, "before", this->origin("v1", 100), this->now);
    this->now += std::chrono::seconds(5);
    addOrigin(this->origins, "after", this->origin("v1", 100), this->now);
    StreamOrigin other = this->origin("v1", 100);
    other.endpoint = Common::EndpointId("e2");
    addOrigin(this->origins, "other", other, this->now);
    forgetOrigins(this->origins, Common::EndpointId("e1"), 7, this->now - std::chrono::seconds(1),
                  this->now);
    BOOST_TEST(this->versionOf("before") == "v1");
    BOOST_TEST(this->versionOf("after") == "");
    BOOST_TEST(this->versionOf("other") == "v1");
}

// Guards against an instance that learns of a restart later, and until then reports streams of the
// new process as those of the one before.
BOOST_AUTO_TEST_CASE(add_afterTheEndpointWasRestarted_keepsOnlyWhatTheOldProcessBegan)
{
    forgetOrigins(this->origins, Common::EndpointId("e1"), 7, this->now, this->now);
    StreamOrigin old = this->origin("v1", 100);
    old.sentAt = this->now - std::chrono::seconds(1);
    addOrigin(this->origins, "old", old, this->now);
    addOrigin(this->origins, "new", this->origin("v1", 100), this->now);
    StreamOrigin next = this->origin("v2", 100);
    next.incarnation = 8;
    addOrigin(this->origins, "next", next, this->now);
    BOOST_TEST(this->versionOf("old") == "v1");
    BOOST_TEST(this->versionOf("new") == "");
    BOOST_TEST(this->versionOf("next") == "v2");
}

// Guards against forgetting where a stream began although the process itself has said so.
BOOST_AUTO_TEST_CASE(forget_restartedEndpoint_keepsWhatItsProcessHasStated)
{
    StreamOrigin stated = this->origin("v1", 100);
    stated.isStated = true;
    addOrigin(this->origins, "before", stated, this->now);
    forgetOrigins(this->origins, Common::EndpointId("e1"), 7, this->now, this->now);
    addOrigin(this->origins, "after", stated, this->now);
    BOOST_TEST(this->versionOf("before") == "v1");
    BOOST_TEST(this->versionOf("after") == "v1");
}

BOOST_AUTO_TEST_CASE(restarts_old_areForgotten)
{
    forgetOrigins(this->origins, Common::EndpointId("e1"), 7, this->now, this->now);
    this->now += kMaxStreamOriginLifetime;
    forgetOrigins(this->origins, Common::EndpointId("e2"), 7, this->now, this->now);
    BOOST_TEST(this->origins.replaced.size() == 1u);
}

BOOST_AUTO_TEST_CASE(expiry_anyDeadline_isBounded)
{
    BOOST_TEST((originExpiry(this->now + std::chrono::hours(24), this->now)
                == this->now + kMaxStreamOriginLifetime));
}

BOOST_AUTO_TEST_SUITE_END()
