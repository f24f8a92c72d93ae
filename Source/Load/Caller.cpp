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

constexpr std::uint32_t kMostTries = 4;
// Callers wait a little beyond the deadline, so that late answers are seen as late.
constexpr Common::Milliseconds kGrace{2000};
constexpr Common::Milliseconds kRetryDelay{20};

// What one try brought.
struct TryResult
{
    bool whole = false;
    // Another try at another entry is right: the request did not run, or may be repeated.
    bool tryAgain = false;
    std::string code;
    std::string ran = "maybe";
    Common::Milliseconds retryAfter{0};
};

class Waiting
{
public:
    Waiting(Http::Client &client, EntryDirectory &directory, PlannedRequest planned)
        : client(client), directory(directory), planned(std::move(planned))
    {
    }

    Http::Awaitable<AnswerRecord> run();

private:
    Http::Awaitable<TryResult> tryOnce(Http::Address entry);
    Http::Awaitable<TryResult> readStream(Http::ResponseStream reply);
    Http::Awaitable<TryResult> readBody(Http::ResponseStream reply);
    TryResult judgeError(unsigned status, std::string_view body);
    TryResult judgeCallError(const Http::CallError &error);
    void checkBody(std::string_view body);
    void checkDone(const std::string &data);
    void noteToken();
    void fault(std::string text)
    {
        this->record.broken.push_back(std::move(text));
    }

    Http::Client &client;
    EntryDirectory &directory;
    PlannedRequest planned;
    AnswerRecord record;
    Common::Time startedAt;
    Common::Time giveUpAt;
    Common::Time lastTokenAt;
    std::vector<std::string> tokens;
};

TryResult Waiting::judgeError(unsigned status, std::string_view body)
{
    TryResult result;
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
    // Another entry may serve what this one may not; an overloaded system is left alone.
    const bool otherEntry = result.code == "draining" || result.code == "cut_off";
    const bool inProgress = result.code == "key_in_progress";
    result.tryAgain = (otherEntry && result.ran == "no") || inProgress;
    return result;
}

TryResult Waiting::judgeCallError(const Http::CallError &error)
{
    TryResult result;
    result.code = std::string(Common::nameOf(error.failure));
    if (!error.written) {
        result.ran = "no";
        result.tryAgain = true;
        return result;
    }
    // What was cut off may be sent again where repeating is harmless or the key guards against it.
    result.tryAgain = error.failure != Http::CallFailure::Timeout;
    return result;
}

void Waiting::noteToken()
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

void Waiting::checkDone(const std::string &data)
{
    const json::value document = json::parse(data);
    const auto count = document.at("tokens").to_number<std::uint64_t>();
    const std::string digest(document.at("digest").as_string());
    if (count != this->tokens.size() || digest != Pipeline::streamDigest(this->tokens))
        this->fault("the terminal event does not match the stream");
    if (this->tokens != this->planned.expectedTokens)
        this->fault("the stream is not the answer to the request");
}

Http::Awaitable<TryResult> Waiting::readStream(Http::ResponseStream reply)
{
    Http::EventParser parser;
    Http::Event event;
    this->tokens.clear();
    this->record.tokenGapsMs.clear();
    while (true) {
        const auto bytes = co_await reply.read(this->giveUpAt);
        if (!bytes)
            co_return this->judgeCallError(bytes.error());
        if (bytes->empty()) {
            // The body ended without the terminal event: cut, and visibly so.
            TryResult result;
            result.code = "cut stream";
            result.tryAgain = true;
            co_return result;
        }
        parser.feed(*bytes);
        while (parser.next(event)) {
            if (event.type == "error")
                co_return this->judgeError(200, event.data);
            if (event.type == "done") {
                this->checkDone(event.data);
                co_await reply.read(this->giveUpAt);
                TryResult result;
                result.whole = true;
                co_return result;
            }
            if (event.type == "moved")
                continue;
            if (event.id != std::to_string(this->tokens.size()))
                this->fault("token " + event.id + " came out of order");
            this->tokens.push_back(event.data);
            this->noteToken();
        }
    }
}

void Waiting::checkBody(std::string_view body)
{
    if (!this->planned.action->generates) {
        if (body != this->planned.expectedBody)
            this->fault("the answer is not the one to the request");
        return;
    }
    boost::system::error_code error;
    const json::value document = json::parse({body.data(), body.size()}, error);
    std::string expected;
    for (const std::string &token : this->planned.expectedTokens)
        expected += token;
    if (error || document.at("output").at("text").as_string() != expected)
        this->fault("the answer is not the one to the request");
    this->tokens = this->planned.expectedTokens;
}

Http::Awaitable<TryResult> Waiting::readBody(Http::ResponseStream reply)
{
    std::string body;
    while (true) {
        const auto bytes = co_await reply.read(this->giveUpAt);
        if (!bytes)
            co_return this->judgeCallError(bytes.error());
        if (bytes->empty())
            break;
        body.append(*bytes);
    }
    if (reply.status() != 200)
        co_return this->judgeError(reply.status(), body);
    this->checkBody(body);
    TryResult result;
    result.whole = true;
    result.ran = "yes";
    co_return result;
}

Http::Awaitable<TryResult> Waiting::tryOnce(Http::Address entry)
{
    Http::CallOptions options;
    options.deadline = this->giveUpAt;
    options.repeatable = false;
    auto reply = co_await this->client.open(entry, this->planned.request, options);
    if (!reply) {
        const TryResult result = this->judgeCallError(reply.error());
        if (result.ran == "no")
            this->directory.avoid(entry);
        co_return result;
    }
    const bool streams = reply->header("Content-Type").starts_with("text/event-stream");
    TryResult result;
    if (streams)
        result = co_await this->readStream(std::move(*reply));
    else
        result = co_await this->readBody(std::move(*reply));
    if (result.code == "draining" || result.code == "cut_off")
        this->directory.avoid(entry);
    co_return result;
}

Http::Awaitable<AnswerRecord> Waiting::run()
{
    const ActionSettings &action = *this->planned.action;
    this->record.action = action.name;
    this->record.plan = action.plan;
    this->record.idempotencyKey = this->planned.idempotencyKey;
    this->record.service = action.service;
    this->startedAt = clockNow();
    const Common::Time deadline = this->startedAt + action.deadline;
    this->giveUpAt = deadline + kGrace;
    TryResult result;
    bool everMaybe = false;
    for (std::uint32_t tries = 0; tries < kMostTries && clockNow() < deadline; ++tries) {
        std::optional<Http::Address> entry;
        if (action.direct.isSet())
            entry = action.direct;
        else
            entry = co_await this->directory.pick();
        if (!entry) {
            result.code = "no entry answers";
            result.ran = "no";
        } else {
            ++this->record.tries;
            result = co_await this->tryOnce(*entry);
        }
        everMaybe = everMaybe || (!result.whole && result.ran != "no");
        if (result.whole || (entry && !result.tryAgain))
            break;
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 std::max(result.retryAfter, kRetryDelay));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->record.duration = clockNow() - this->startedAt;
    this->record.code = result.code;
    this->record.tokens = this->tokens.size();
    if (result.whole) {
        this->record.state = clockNow() <= deadline ? AnswerState::InTime : AnswerState::Late;
        this->record.toldRan = true;
    } else if (result.ran == "no" && !everMaybe) {
        this->record.state = AnswerState::Refused;
        this->record.toldNotRun = true;
    }
    co_return std::move(this->record);
}

} // namespace

Http::Awaitable<AnswerRecord> waitForAnswer(Http::Client &client, EntryDirectory &directory,
                                            PlannedRequest planned)
{
    Waiting waiting(client, directory, std::move(planned));
    co_return co_await waiting.run();
}

} // namespace Tanagerbay::Load
