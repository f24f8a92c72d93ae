#include "UnitTests/Node/InstanceFixture.h"

#include <thread>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Tanagerbay::Tests::InstanceFixture;
using Tanagerbay::Tests::Reply;

namespace {

const std::string kSearchBody = R"({"input":{"text":"question"}})";

// Time from the receipt of a request to the step that a fault holds up.
constexpr Common::Milliseconds kArrivalTime{200};

// The instance is in the phase `leaving` for 300 ms of its drain time-out.
const boost::json::object kShortDrain{
    {"drainTimeoutMs", 900},
    {"peer", boost::json::object{{"heartbeatIntervalMs", 100}}},
    {"admission", boost::json::object{{"occupancyTarget", 0.1}}},
};

struct ShortDrainFixture : InstanceFixture
{
    ShortDrainFixture() : InstanceFixture(kShortDrain)
    {
    }

    void waitForRequests(std::uint64_t count)
    {
        while (this->counter(Common::Counter::RequestsReceived) < count)
            std::this_thread::sleep_for(Common::Milliseconds(10));
        std::this_thread::sleep_for(kArrivalTime);
    }

    // Drains the instance while the call is in progress and returns the call's reply.
    template <typename Call>
    Reply replyAfterDrain(Call &&call)
    {
        Reply reply;
        std::thread caller([&] { reply = call(); });
        this->waitForRequests(1);
        this->drainWithWorkInProgress();
        caller.join();
        return reply;
    }

    // As the process does: the instance is stopped once the drain has timed out.
    void drainWithWorkInProgress()
    {
        this->instance->drain();
        BOOST_TEST(!this->instance->waitUntilDrained());
        this->instance->stop();
    }
};

// An instance whose edits wait for another listed instance, which does not exist.
struct EditFixture : InstanceFixture
{
    explicit EditFixture(const boost::json::object &changes = {}) : InstanceFixture(changes)
    {
        const std::string other
            = R"({"id":"i2","address":"127.0.0.1:1","peerAddress":"127.0.0.1:1","failureDomain":"a"})";
        const Reply listed = this->call(this->control, {"POST", "/v1/instances", {}, other});
        BOOST_REQUIRE_EQUAL(listed.status, 200u);
        const auto isMissing = [this] {
            return this->operatorCall("GET", "/v1/lists/plans/status", "", "").body.find("i2")
                != std::string::npos;
        };
        while (!isMissing())
            std::this_thread::sleep_for(Common::Milliseconds(10));
    }

    Reply replyToEditDuringDrain()
    {
        Reply reply;
        std::thread caller([&] {
            reply = this->operatorCall("PUT",
                                       "/v1/lists/entitlements?acceptWarnings=true&waitMs=2500",
                                       R"({"entitlements":[]})", "\"1\"");
        });
        std::this_thread::sleep_for(kArrivalTime);
        this->instance->drain();
        this->isDrainComplete = this->instance->waitUntilDrained();
        this->instance->stop();
        caller.join();
        return reply;
    }

    bool isDrainComplete = false;
};

struct ShortDrainEditFixture : EditFixture
{
    ShortDrainEditFixture() : EditFixture(kShortDrain)
    {
    }
};

struct Answer
{
    unsigned status = 0;
    std::string code;
    std::string ran;

    bool operator==(const Answer &) const = default;
};

std::ostream &operator<<(std::ostream &out, const Answer &answer)
{
    return out << answer.status << " " << answer.code << " ran:" << answer.ran;
}

// Returns what an error response says. The status is zero if the connection closed without one.
Answer answerOf(const Reply &reply)
{
    boost::system::error_code failed;
    const boost::json::value document = boost::json::parse(reply.body, failed);
    if (failed)
        return {reply.status, reply.body, ""};
    const boost::json::object &error = document.at("error").as_object();
    return {reply.status, std::string(error.at("code").as_string()),
            std::string(error.at("ran").as_string())};
}

const Answer kNotRun{503, "draining", "no"};
const Answer kMayHaveRun{502, "endpoint_failed", "maybe"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DrainsWithEdits, EditFixture)

// Guards against closing the connection of an operator whose committed edit waits for an instance.
BOOST_AUTO_TEST_CASE(drain_editInProgress_isAnswered)
{
    BOOST_TEST(this->replyToEditDuringDrain().status == 202u);
    BOOST_TEST(this->isDrainComplete);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DrainTimeoutsWithEdits, ShortDrainEditFixture)

// Guards against closing the connection of an operator whose edit outlasts the drain time-out.
BOOST_AUTO_TEST_CASE(drainTimeout_editInProgress_isAnsweredAsCommitted)
{
    BOOST_TEST(this->replyToEditDuringDrain().status == 202u);
    BOOST_TEST(!this->isDrainComplete);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DrainTimeouts, ShortDrainFixture)

// Guards against closing the connection of a request whose stage has not replied, unanswered.
BOOST_AUTO_TEST_CASE(drainTimeout_stageInProgress_isAnsweredAsMaybe)
{
    this->setFault("encoders", "pause");
    const Reply reply
        = this->replyAfterDrain([this] { return this->pipeline("search", kSearchBody); });
    BOOST_TEST(answerOf(reply) == kMayHaveRun);
}

// Guards against closing the connection of a request whose engine has sent no token, unanswered.
BOOST_AUTO_TEST_CASE(drainTimeout_generationBeforeFirstToken_isAnsweredAsMaybe)
{
    this->setFault("tutors", "pause");
    const Reply reply = this->replyAfterDrain([this] {
        return this->pipeline("ask", R"({"input":{"text":"q"},"stream":true,"maxTokens":20})");
    });
    BOOST_TEST(answerOf(reply) == kMayHaveRun);
}

// Guards against closing the connections of requests that wait for their admission, unanswered.
BOOST_AUTO_TEST_CASE(drainTimeout_requestsWaitForAdmission_areAnsweredAsNotRun)
{
    constexpr std::size_t kCallers = 60;
    this->setFault("encoders", "pause");
    std::vector<Reply> replies(kCallers);
    std::vector<std::thread> callers;
    for (Reply &reply : replies) {
        callers.emplace_back([this, &reply] {
            reply = this->pipeline("ask", R"({"input":{"text":"q"},"maxTokens":20})");
        });
    }
    this->waitForRequests(kCallers);
    const std::uint64_t waiting = this->counter(Common::Counter::AdmissionQueued);
    this->drainWithWorkInProgress();
    for (std::thread &caller : callers)
        caller.join();
    std::uint64_t notRun = 0;
    for (const Reply &reply : replies) {
        const Answer answer = answerOf(reply);
        BOOST_TEST((answer == kNotRun || answer == kMayHaveRun), answer);
        notRun += answer == kNotRun ? 1 : 0;
    }
    // A waiting request may be admitted while those in service are ended, so it is not the same
    // number.
    BOOST_TEST(waiting > 0u);
    BOOST_TEST(notRun > 0u);
}

// Guards against losing the answer of a once-only call that an endpoint may be running.
BOOST_AUTO_TEST_CASE(drainTimeout_onceOnlyCallSent_isAnsweredAsMaybe)
{
    this->setFault("roster", "pause");
    const Reply reply
        = this->replyAfterDrain([this] { return this->service("roster", "push", "d1", "body"); });
    BOOST_TEST(answerOf(reply) == kMayHaveRun);
    BOOST_TEST(this->runsOf("d1") <= 1u);
}

// Guards against losing the answer of a once-only call whose claim the store has not confirmed, and
// against sending it after it was answered as not run.
BOOST_AUTO_TEST_CASE(drainTimeout_onceOnlyCallNotClaimed_isAnsweredAsNotRunAndNotSent)
{
    // Without an allowance, so that the claim is the first call to the store.
    const std::string entitlements
        = R"({"entitlements":[{"plan":"p","pipelines":[],"services":["roster"],"models":[]}]})";
    BOOST_REQUIRE_EQUAL(this->operatorCall("PUT", "/v1/lists/entitlements?acceptWarnings=true",
                                           entitlements, "\"1\"")
                            .status,
                        200u);
    this->setFault("table-service", "pause");
    Reply reply;
    this->instance->drain();
    std::thread caller([&] { reply = this->service("roster", "push", "d2", "body"); });
    BOOST_TEST(!this->instance->waitUntilDrained());
    this->instance->stop();
    caller.join();
    this->clearFaults();
    BOOST_TEST(reply.status == 503u);
    BOOST_TEST(answerOf(reply).ran == "no");
    BOOST_TEST(this->runsOf("d2") == 0u);
}

// Guards against a complete answer made of a stream that was cut: its caller must see that it ended
// early.
BOOST_AUTO_TEST_CASE(drainTimeout_streamHasBegun_endsWithoutTerminalEvent)
{
    const std::string body = R"({"input":{"text":"q"},"stream":true,"maxTokens":90000})";
    std::string received;
    std::thread caller([&] {
        received = this->rawCall(
            "POST /v1/pipelines/ask HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-w1\r\n"
            "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    this->waitForRequests(1);
    this->drainWithWorkInProgress();
    caller.join();
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.find("event: done") == std::string::npos);
    BOOST_TEST(!received.ends_with("\r\n0\r\n\r\n"));
}

// Guards against requests that outlast `stop` until it is forced, whose destruction then crashes.
BOOST_AUTO_TEST_CASE(stop_requestsWaitForAdmission_endsWithoutForce)
{
    this->setFault("encoders", "pause");
    std::vector<std::thread> callers;
    for (int i = 0; i < 60; ++i) {
        callers.emplace_back(
            [this] { this->pipeline("ask", R"({"input":{"text":"q"},"maxTokens":20})"); });
    }
    this->waitForRequests(callers.size());
    BOOST_TEST(this->instance->stop());
    for (std::thread &caller : callers)
        caller.join();
}

BOOST_AUTO_TEST_SUITE_END()
