// What an entry instance needs from a platform: the wording of its messages and its store.
//
// An adapter fills these in. It translates and decides nothing; what follows from a message is
// decided here.
#pragma once

#include "Catalog/Catalog.h"
#include "Http/Types.h"
#include "Membership/Members.h"
#include "Routing/Pool.h"
#include "Staging/StageQueue.h"

#include <tl/expected.hpp>

namespace Tanagerbay::Entry {

// One part of a prompt. Requests may share all but the last.
struct PromptPart
{
    std::string id;
    std::uint64_t tokens = 0;
};

struct Prompt
{
    std::vector<PromptPart> parts;
    std::uint64_t tokensIn = 0;
    std::uint64_t mostTokensOut = 0;
};

// A caller's request in the product's terms.
struct CallerRequest
{
    // Names one attempt of a caller.
    std::string id;
    std::string method;
    std::string target;
    // Without the query.
    std::string path;
    std::string host;
    // Headers that go on to the endpoint as they are.
    Http::Headers forwarded;
    std::string body;
    std::string key;
    // How long the caller waits, if it says so.
    std::optional<Common::Duration> patience;
    Prompt prompt;
    // Number of pieces of each stage, and the name of their input.
    std::vector<std::uint32_t> pieceCounts;
    std::string pieceKey;
    // The last event that the caller has of a stream, if any.
    std::optional<std::uint64_t> lastEvent;
    Common::Time receivedAt;
};

enum class RefusalReason {
    BadRequest,
    NoSuchRoute,
    UnknownKey,
    NotReady,
    Leaving,
    NoEndpoint,
    Overloaded,
    NotRunInTime,
    DeadlinePassed,
    OutcomeUnknown,
};

} // namespace Tanagerbay::Entry

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Entry::RefusalReason>
{
    using Reason = Entry::RefusalReason;
    static constexpr NameTable<Reason, 10> table = {{
        {Reason::BadRequest, "bad-request"},
        {Reason::NoSuchRoute, "no-such-route"},
        {Reason::UnknownKey, "unknown-key"},
        {Reason::NotReady, "not-ready"},
        {Reason::Leaving, "leaving"},
        {Reason::NoEndpoint, "no-endpoint"},
        {Reason::Overloaded, "overloaded"},
        {Reason::NotRunInTime, "not-run-in-time"},
        {Reason::DeadlinePassed, "deadline-passed"},
        {Reason::OutcomeUnknown, "outcome-unknown"},
    }};
};

namespace Tanagerbay::Entry {

// An answer of the product itself, without an endpoint's.
struct Refusal
{
    RefusalReason reason = RefusalReason::NotReady;
    // True only where no endpoint ran the request or ever will.
    bool notRun = true;
    std::optional<Common::Duration> retryAfter;
};

// What one send to an endpoint carries besides the caller's request.
struct EndpointCall
{
    Common::EndpointId endpoint;
    Common::Duration timeLeft{0};
    // Empty where the route needs no key.
    std::string workspace;
    // Results of the stages that no other stage follows.
    std::vector<std::string> stageResults;
    // Where a stream goes on; replaces what the caller sent.
    std::optional<std::uint64_t> afterEvent;
    // Zero is most urgent; unset leaves it to the engine.
    std::optional<int> urgency;
};

// The head of an endpoint's answer.
struct EndpointAnswer
{
    unsigned status = 0;
    // The request that the answer names, empty where it names none.
    std::string requestId;
    // Whether the endpoint signed the answer.
    bool isSigned = false;
    bool saysNotRun = false;
    // Whether another endpoint has the address now.
    bool otherEndpoint = false;
    // Whether the body is encoded, though nobody asked for it.
    bool isEncoded = false;
    bool isLeaving = false;
    std::optional<Routing::LoadReport> load;
};

struct DirectoryQuestion
{
    Common::FailureDomain failureDomain;
};

// Wording of a platform's messages. Each member is a plain function without state.
struct Dialect
{
    tl::expected<CallerRequest, std::string> (*readRequest)(const Http::Request &request);
    Http::Response (*writeRefusal)(const Refusal &refusal, std::string_view requestId);
    Http::Request (*writeCall)(const CallerRequest &request, const EndpointCall &call);
    EndpointAnswer (*readAnswer)(unsigned status, const Http::Headers &headers);
    // Headers of an endpoint's answer that the caller gets.
    Http::Headers (*relayedHeaders)(const Http::Headers &headers);

    Http::Request (*writeStageCall)(const Staging::PlannedCall &call, Common::Time now);
    // Returns nothing where the body is not valid.
    std::optional<std::vector<Staging::PieceResult>> (*readStageResults)(const std::string &body);
    Http::Request (*writeFreeOrder)(const std::vector<std::string> &handles);

    bool (*isReadinessQuestion)(const Http::Request &request);
    std::optional<DirectoryQuestion> (*readDirectoryQuestion)(const Http::Request &request);
    Http::Response (*writeDirectoryAnswer)(const std::vector<Membership::DirectoryEntry> &entries,
                                           Common::Duration timeToLive);

    // Reads a catalog from the operator's document. Returns why it cannot be read otherwise.
    tl::expected<Catalog::CatalogPtr, std::string> (*readCatalog)(const std::string &document);
};

enum class StoreFault {
    Unreachable,
    // The store said that it did nothing.
    Refused,
    // The history since the position is not kept any more.
    HistoryGone,
    BadAnswer,
};

} // namespace Tanagerbay::Entry

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Entry::StoreFault>
{
    using Fault = Entry::StoreFault;
    static constexpr NameTable<Fault, 4> table = {{
        {Fault::Unreachable, "unreachable"},
        {Fault::Refused, "refused"},
        {Fault::HistoryGone, "history-gone"},
        {Fault::BadAnswer, "bad-answer"},
    }};
};

namespace Tanagerbay::Entry {

// An endpoint as the store lists it.
struct ListedEndpoint
{
    std::string service;
    Routing::EndpointEntry entry;
};

// What a read of the endpoints brought.
struct EndpointsReading
{
    // Whether endpoints that are not present are gone.
    bool isWhole = false;
    std::vector<ListedEndpoint> present;
    std::vector<Common::EndpointId> gone;
    // Entries that could not be read; their endpoints are not to be used.
    std::vector<Common::EndpointId> unreadable;
    // Where the next read goes on.
    std::uint64_t position = 0;
};

struct CatalogReading
{
    // The newest document; unset where nothing has changed.
    std::optional<std::string> document;
    std::uint64_t position = 0;
};

// An instance as it lists itself in the store.
struct ListedInstance
{
    Common::InstanceId id;
    Common::Address peerAddress;
    // How much of the duties it can bear, against others; zero where it does not say.
    double strength = 0;
};

template <typename T>
using StoreResult = tl::expected<T, StoreFault>;

// The platform's store. A position of zero asks for everything.
class Store
{
public:
    virtual ~Store() = default;

    // Waits up to `wait` for a document newer than the position.
    virtual Http::Awaitable<StoreResult<CatalogReading>> readCatalog(std::uint64_t position,
                                                                     Common::Milliseconds wait)
        = 0;
    virtual Http::Awaitable<StoreResult<EndpointsReading>> readEndpoints(std::uint64_t position,
                                                                         Common::Milliseconds wait)
        = 0;
    virtual Http::Awaitable<StoreResult<std::vector<ListedInstance>>> readInstances() = 0;
    virtual Http::Awaitable<bool> writeInstance(const ListedInstance &instance) = 0;
    virtual Http::Awaitable<bool> removeInstance(const Common::InstanceId &id) = 0;
};

} // namespace Tanagerbay::Entry
