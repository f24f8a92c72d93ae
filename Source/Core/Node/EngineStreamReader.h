// Reads the event stream of an engine: tokens in order, then a terminal event.
#pragma once

#include "Http/EventStream.h"
#include "Pipeline/TokenStream.h"
#include "Routing/Pool.h"

namespace Tanagerbay::Node {

// The events of one engine. `tokens` must outlive it and may already hold tokens of earlier
// engines.
class EngineStreamReader
{
public:
    explicit EngineStreamReader(Pipeline::TokenStream &tokens);

    // Processes bytes of the engine's response body and appends the events that the caller needs to
    // `outgoing`. Returns false once the stream has ended or is invalid.
    bool process(std::string_view bytes, std::string &outgoing);
    // Returns whether the terminal event was received.
    bool isDone() const;
    // Returns whether the terminal event matches the tokens received.
    bool isComplete() const;
    // Returns why the stream is invalid; empty if it is valid.
    const std::string &problem() const;
    // Returns the engine's digest of all tokens.
    const std::string &digest() const;
    // Returns the number of tokens accepted from this engine.
    std::uint64_t tokenCount() const;
    // Returns the number of tokens appended for the caller.
    std::uint64_t forwardedCount() const;
    // Adds the engine's busy time and load, as reported in the terminal event.
    void addToReport(Routing::CallReport &report) const;

private:
    bool processEvent(const Http::Event &event, std::string &outgoing);
    void processTerminalEvent(const Http::Event &event);

    Pipeline::TokenStream &tokens;
    std::uint64_t firstToken;
    std::uint64_t forwarded = 0;
    Http::EventParser parser;
    bool done = false;
    bool complete = false;
    std::string problemText;
    std::string terminalDigest;
    std::optional<Common::Duration> busy;
    std::optional<Routing::LoadReport> load;
};

} // namespace Tanagerbay::Node
