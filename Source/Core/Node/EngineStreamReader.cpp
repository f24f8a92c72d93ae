#include "Node/EngineStreamReader.h"

#include "Node/RequestScope.h"
#include "Pipeline/Wire.h"

#include <charconv>

#include <boost/json.hpp>

namespace Tanagerbay::Node {

namespace json = boost::json;
namespace Wire = Pipeline::Wire;

EngineStreamReader::EngineStreamReader(Pipeline::TokenStream &tokens)
    : tokens(tokens), firstToken(tokens.count())
{
}

bool EngineStreamReader::process(std::string_view bytes, std::string &outgoing)
{
    this->parser.feed(bytes);
    Http::Event event;
    while (!this->done && this->parser.next(event)) {
        if (!this->processEvent(event, outgoing))
            return false;
    }
    if (this->parser.isEventTooLong()) {
        this->problemText = "the engine sent an event without end";
        return false;
    }
    return !this->done;
}

bool EngineStreamReader::processEvent(const Http::Event &event, std::string &outgoing)
{
    if (event.type == Wire::kDoneEvent) {
        this->processTerminalEvent(event);
        return this->done;
    }
    std::uint64_t offset = 0;
    const char *end = event.id.data() + event.id.size();
    const auto parsed = std::from_chars(event.id.data(), end, offset);
    if (!event.type.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        this->problemText = "the engine sent a malformed event";
        return false;
    }
    const auto verdict = Pipeline::takeToken(this->tokens, offset, event.data);
    if (verdict == Pipeline::TokenVerdict::Gap) {
        this->problemText = "the engine's stream skipped tokens";
        return false;
    }
    if (verdict == Pipeline::TokenVerdict::Deliver
        && Pipeline::callerNeedsToken(this->tokens, offset)) {
        ++this->forwarded;
        Http::appendEvent(outgoing, event);
    }
    return true;
}

// Ignores a malformed terminal event, so that the stream counts as truncated.
void EngineStreamReader::processTerminalEvent(const Http::Event &event)
{
    boost::system::error_code error;
    const json::value document = json::parse(event.data, error);
    if (error || !document.is_object())
        return;
    const json::object &object = document.get_object();
    const json::value *tokenCount = object.if_contains("tokens");
    const json::value *digest = object.if_contains("digest");
    const json::value *busyMicros = object.if_contains("busyMicros");
    if (busyMicros && busyMicros->is_int64())
        this->busy = std::chrono::microseconds(busyMicros->get_int64());
    if (const json::value *load = object.if_contains("load"))
        this->load = parseLoadReport(json::serialize(*load));
    if (!tokenCount || !tokenCount->is_int64() || !digest || !digest->is_string())
        return;
    this->done = true;
    this->terminalDigest = std::string(digest->get_string());
    const auto verdict = Pipeline::verifyEnd(
        this->tokens, static_cast<std::uint64_t>(tokenCount->get_int64()), this->terminalDigest);
    this->complete = verdict == Pipeline::EndVerdict::Complete;
    if (!this->complete)
        this->problemText = "the terminal event does not match the tokens received";
}

bool EngineStreamReader::isDone() const
{
    return this->done;
}

bool EngineStreamReader::isComplete() const
{
    return this->complete;
}

const std::string &EngineStreamReader::problem() const
{
    return this->problemText;
}

const std::string &EngineStreamReader::digest() const
{
    return this->terminalDigest;
}

std::uint64_t EngineStreamReader::tokenCount() const
{
    return this->tokens.count() - this->firstToken;
}

std::uint64_t EngineStreamReader::forwardedCount() const
{
    return this->forwarded;
}

void EngineStreamReader::addToReport(Routing::CallReport &report) const
{
    if (this->busy)
        report.busy = *this->busy;
    if (this->load)
        report.load = this->load;
}

} // namespace Tanagerbay::Node
