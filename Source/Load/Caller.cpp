#include "Load/Caller.h"

#include "Common/Clock.h"
#include "Http/EventStream.h"
#include "Pipeline/TokenStream.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Load {

namespace asio = boost::asio;
namespace json = boost::json;

using Common::clockNow;

namespace {

constexpr std::uint32_t kMaxAttempts = 4;
// Callers wait this much longer than the deadline, so that late answers are counted as late.
constexpr Common::Milliseconds kLateAnswerGracePeriod{2000};
constexpr Common::Milliseconds kRetryDelay{20};

// Outcome of one attempt.
struct AttemptResult
{
    bool isComplete = false;
    // A retry is permitted: the request did not run, or may be repeated.
    bool isRetryPermitted = false;
    std::string code;
    std::string ran = "maybe";
    Common::Milliseconds retryAfter{0};
};

class RequestRunner
{
public:
    RequestRunner(Http::Client &client, EntryDirectory &directory, PlannedRequest planned)
        : client(client), directory(directory), planned(std::move(planned))
    {
    }

    Http::Awaitable<AnswerRecord> run();

private:
    Http::Awaitable<AttemptResult> runAttempt(Http::Address entry);
    Http::Awaitable<AttemptResult> readStream(Http::ResponseStream reply);
    Http::Awaitable<AttemptResult> readBody(Http::ResponseStream reply);
    AttemptResult classifyErrorReply(unsigned status, std::string_view body);
    AttemptResult classifyCallError(const Http::CallError &error);
    void checkBody(std::string_view body);
    void checkDone(const std::string &data);
    void recordToken();
    void addViolation(std::string text)
    {
        this->record.violations.push_back(std::move(text));
    }

    Http::Client &client;
    EntryDirectory &directory;
    PlannedRequest planned;
    AnswerRecord record;
    Common::Time startedAt;
    Common::Time receiveDeadline;
    Common::Time lastTokenAt;
    std::vector<std::string> tokens;
};

AttemptResult RequestRunner::classifyErrorReply(unsigned status, std::string_view body)
{
    AttemptResult result;
    result.code = "status-" + std::to_string(status);
    boost::system::error_code error;
    const json::value document = json::parse({body.data(), body.size()}, error);
    const json::value *entry
        = !error && document.is_object() ? document.get_object().if_contains("error") : nullptr;
    if (!entry || !entry->is_object())
        return result;
    const json::object &object = entry->get_object();
    if (const json::value *code = object.if_contains("code"); code && code->is_string())
        result.code = std::string(code->get_string());
    if (const json::value *ran = object.if_contains("ran"); ran && ran->is_string())
        result.ran = std::string(ran->get_string());
    if (const json::value *after = object.if_contains("retryAfterMs"); after && after->is_int64())
        result.retryAfter = Common::Milliseconds(after->get_int64());
    // Another entry may accept what a draining or cut-off entry refuses. An overloaded system gets
    // no retries.
    const bool isEntryUnavailable = result.code == "draining" || result.code == "cut_off";
    const bool isKeyInProgress = result.code == "key_in_progress";
    result.isRetryPermitted = (isEntryUnavailable && result.ran == "no") || isKeyInProgress;
    return result;
}

AttemptResult RequestRunner::classifyCallError(const Http::CallError &error)
{
    AttemptResult result;
    result.code = std::string(Common::nameOf(error.failure));
    if (!error.written) {
        result.ran = "no";
        result.isRetryPermitted = true;
        return result;
    }
    // After a lost connection the request may be sent again: its repetition is harmless, or the
    // idempotency key protects against a second run. A time-out is not retried.
    result.isRetryPermitted = error.failure != Http::CallFailure::Timeout;
    return result;
}

void RequestRunner::recordToken()
{
    const Common::Time now = clockNow();
    if (this->tokens.size() == 1) {
        this->record.firstToken = now - this->startedAt;
    } else {
        this->record.tokenGapsMs.push_back(
            static_cast<float>(Common::toSeconds(now - this->lastTokenAt) * 1000));
    }
    this->lastTokenAt = now;
}

void RequestRunner::checkDone(const std::string &data)
{
    const json::value document = json::parse(data);
    const auto count = document.at("tokens").to_number<std::uint64_t>();
    const std::string digest(document.at("digest").as_string());
    if (count != this->tokens.size() || digest != Pipeline::streamDigest(this->tokens))
        this->addViolation("the terminal event does not match the stream");
    if (this->tokens != this->planned.expectedTokens)
        this->addViolation("the streamed tokens differ from the expected answer");
}

Http::Awaitable<AttemptResult> RequestRunner::readStream(Http::ResponseStream reply)
{
    Http::EventParser parser;
    Http::Event event;
    this->tokens.clear();
    this->record.tokenGapsMs.clear();
    while (true) {
        const auto part = co_await reply.read(this->receiveDeadline);
        if (!part)
            co_return this->classifyCallError(part.error());
        const auto *bytes = std::get_if<std::string_view>(&*part);
        if (!bytes) {
            // The body ended without the terminal event, so the stream is known to be truncated.
            AttemptResult result;
            result.code = "cut stream";
            result.isRetryPermitted = true;
            co_return result;
        }
        parser.feed(*bytes);
        while (parser.next(event)) {
            if (event.type == "error")
                co_return this->classifyErrorReply(200, event.data);
            if (event.type == "done") {
                this->checkDone(event.data);
                co_await reply.read(this->receiveDeadline);
                AttemptResult result;
                result.isComplete = true;
                co_return result;
            }
            if (event.type == "moved")
                continue;
            if (event.id != std::to_string(this->tokens.size()))
                this->addViolation("token " + event.id + " arrived out of order");
            this->tokens.push_back(event.data);
            this->recordToken();
        }
    }
}

void RequestRunner::checkBody(std::string_view body)
{
    if (!this->planned.action->generates) {
        if (body != this->planned.expectedBody)
            this->addViolation("the answer differs from the expected one");
        return;
    }
    boost::system::error_code error;
    const json::value document = json::parse({body.data(), body.size()}, error);
    std::string expected;
    for (const std::string &token : this->planned.expectedTokens)
        expected += token;
    if (error || document.at("output").at("text").as_string() != expected)
        this->addViolation("the answer differs from the expected one");
    this->tokens = this->planned.expectedTokens;
}

Http::Awaitable<AttemptResult> RequestRunner::readBody(Http::ResponseStream reply)
{
    std::string body;
    while (true) {
        const auto part = co_await reply.read(this->receiveDeadline);
        if (!part)
            co_return this->classifyCallError(part.error());
        const auto *bytes = std::get_if<std::string_view>(&*part);
        if (!bytes)
            break;
        body.append(*bytes);
    }
    if (reply.status() != 200)
        co_return this->classifyErrorReply(reply.status(), body);
    this->checkBody(body);
    AttemptResult result;
    result.isComplete = true;
    result.ran = "yes";
    co_return result;
}

Http::Awaitable<AttemptResult> RequestRunner::runAttempt(Http::Address entry)
{
    Http::CallOptions options;
    options.deadline = this->receiveDeadline;
    options.repeatable = false;
    auto reply = co_await this->client.open(entry, this->planned.request, options);
    if (!reply) {
        const AttemptResult result = this->classifyCallError(reply.error());
        if (result.ran == "no")
            this->directory.exclude(entry);
        co_return result;
    }
    const bool isStream = reply->header("Content-Type").starts_with("text/event-stream");
    AttemptResult result;
    if (isStream)
        result = co_await this->readStream(std::move(*reply));
    else
        result = co_await this->readBody(std::move(*reply));
    if (result.code == "draining" || result.code == "cut_off")
        this->directory.exclude(entry);
    co_return result;
}

Http::Awaitable<AnswerRecord> RequestRunner::run()
{
    const ActionSettings &action = *this->planned.action;
    this->record.action = action.name;
    this->record.plan = action.plan;
    this->record.idempotencyKey = this->planned.idempotencyKey;
    this->record.service = action.service;
    this->startedAt = clockNow();
    const Common::Time deadline = this->startedAt + action.deadline;
    this->receiveDeadline = deadline + kLateAnswerGracePeriod;
    AttemptResult result;
    bool mayHaveRun = false;
    for (std::uint32_t attempts = 0; attempts < kMaxAttempts && clockNow() < deadline; ++attempts) {
        std::optional<Http::Address> entry;
        if (action.direct.isSet())
            entry = action.direct;
        else
            entry = co_await this->directory.pickEntry();
        if (!entry) {
            result.code = "no entry answers";
            result.ran = "no";
        } else {
            ++this->record.attempts;
            result = co_await this->runAttempt(*entry);
        }
        mayHaveRun = mayHaveRun || (!result.isComplete && result.ran != "no");
        if (result.isComplete || (entry && !result.isRetryPermitted))
            break;
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 std::max(result.retryAfter, kRetryDelay));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->record.duration = clockNow() - this->startedAt;
    this->record.code = result.code;
    this->record.tokens = this->tokens.size();
    if (result.isComplete) {
        this->record.state = clockNow() <= deadline ? AnswerState::InTime : AnswerState::Late;
        this->record.reportedRun = true;
    } else if (result.ran == "no" && !mayHaveRun) {
        this->record.state = AnswerState::Refused;
        this->record.reportedNotRun = true;
    }
    co_return std::move(this->record);
}

} // namespace

Http::Awaitable<AnswerRecord> runRequest(Http::Client &client, EntryDirectory &directory,
                                         PlannedRequest planned)
{
    RequestRunner runner(client, directory, std::move(planned));
    co_return co_await runner.run();
}

} // namespace Tanagerbay::Load
