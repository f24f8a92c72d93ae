// Reads the event stream of an engine: tokens in order, then a terminal marker.
#pragma once

#include "Http/EventStream.h"
#include "Pipeline/TokenStream.h"
#include "Routing/Pool.h"

namespace Tanagerbay::Node {

// The events of one engine. `tokens` outlives it and may hold tokens of engines before it.
class EngineEvents
{
public:
    explicit EngineEvents(Pipeline::TokenStream &tokens);

    // Takes bytes of the engine's body and appends the events that the caller needs to `outgoing`.
    // Returns false once the rest of the stream is not needed or cannot be used.
    bool take(std::string_view bytes, std::string &outgoing);
    // Whether the terminal marker has come.
    bool isDone() const;
    // Whether the marker matches the tokens.
    bool isWhole() const;
    // Why the stream cannot be used; empty where it can.
    const std::string &problem() const;
    // The engine's digest over all tokens.
    const std::string &digest() const;
    // Tokens taken from this engine.
    std::uint64_t tokenCount() const;
    // Tokens for the caller that were appended.
    std::uint64_t neededCount() const;
    // Adds what the marker said of the engine's work and load.
    void addTo(Routing::CallReport &report) const;

private:
    bool takeEvent(const Http::Event &event, std::string &outgoing);
    void takeMarker(const Http::Event &event);

    Pipeline::TokenStream &tokens;
    std::uint64_t firstToken;
    std::uint64_t needed = 0;
    Http::EventParser parser;
    bool done = false;
    bool whole = false;
    std::string fault;
    std::string markerDigest;
    std::optional<Common::Duration> busy;
    std::optional<Routing::LoadReport> load;
};

} // namespace Tanagerbay::Node
