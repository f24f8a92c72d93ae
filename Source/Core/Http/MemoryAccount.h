// What a process holds in memory for its callers, and which of them has to go when that is too
// much. Runs without a network, on one thread.
//
// A connection has a `Holder` with what it holds, by kind. Whoever is about to hold more asks
// first. Without room, connections are evicted that hold much, and have held it for long without
// completing anything: a body that does not end, an answer that is not read. Requests that are
// being handled are never evicted. What an ordinary caller holds is small and gone soon, so that
// its turn comes last.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>

#include <boost/intrusive/list.hpp>

namespace Tanagerbay::Http {

enum class HeldKind {
    // The connection itself.
    Connection,
    // Heads of requests, and bytes that have been read ahead.
    Head,
    Body,
    // Answers that their callers have not yet taken.
    Answer,
    // Answers of endpoints that are being read, before their callers get them.
    Response,
};
constexpr std::size_t kHeldKinds = 5;

enum class HolderPhase {
    // Waits for the first byte of a request.
    Idle,
    // Has a part of a request.
    Reading,
    Handling,
    // An answer, or a part of it, is being written.
    Writing,
};

enum class EvictionReason { Memory, Connections };

} // namespace Tanagerbay::Http

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Http::HeldKind>
{
    using Kind = Http::HeldKind;
    static constexpr NameTable<Kind, Http::kHeldKinds> table = {{{Kind::Connection, "connection"},
                                                                 {Kind::Head, "head"},
                                                                 {Kind::Body, "body"},
                                                                 {Kind::Answer, "answer"},
                                                                 {Kind::Response, "response"}}};
};

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Http::EvictionReason>
{
    using Reason = Http::EvictionReason;
    static constexpr NameTable<Reason, 2> table
        = {{{Reason::Memory, "memory"}, {Reason::Connections, "connections"}}};
};

namespace Tanagerbay::Http {

// Bytes by kind.
using HeldBytes = std::array<std::size_t, kHeldKinds>;

struct Holder : boost::intrusive::list_base_hook<>
{
    HeldBytes held{};
    HolderPhase phase = HolderPhase::Idle;
    // Begin of the phase. An answer of several parts begins anew with each of them.
    Common::Time since;
    // Whether a request on this connection has been answered.
    bool hasCompleted = false;
    // Set before `evict` runs. What the connection holds is given back soon.
    std::optional<EvictionReason> evicted;
    std::function<void()> evict;
};

struct MemoryAccount
{
    std::size_t maxBytes = std::numeric_limits<std::size_t>::max();
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    // Of all holders, and of what no holder stands for.
    HeldBytes held{};
    // Held by those that have been evicted.
    std::size_t leavingBytes = 0;
    std::size_t leavingConnections = 0;
    boost::intrusive::list<Holder> holders;
    std::array<std::uint64_t, 2> evictions{};
    // Requests and connections that were refused without room.
    std::array<std::uint64_t, 2> refusals{};
};

// Share of a machine's memory that may be held for callers, if `heapBytes` are in use and
// `accountedBytes` of them belong to the account. The rest of the process goes first, but callers
// keep a small share in any case.
std::size_t shareForCallers(std::size_t machineBytes, std::size_t heapBytes,
                            std::size_t accountedBytes);
// Share of a process's descriptors that callers may use.
std::size_t connectionsForCallers(std::size_t maxDescriptors);

std::size_t heldBytes(const MemoryAccount &account);

// Adds a connection that has been accepted. Returns false if it must be refused: there are too
// many, and none that could be closed instead.
bool admit(MemoryAccount &account, Holder &holder, Common::Time now);
void remove(MemoryAccount &account, Holder &holder);
void beginPhase(Holder &holder, HolderPhase phase, Common::Time now);
// Sets what a connection holds of a kind. Returns false, and changes nothing, if there is no room
// for it, or if this connection would have to go itself.
bool hold(MemoryAccount &account, Holder &holder, HeldKind kind, std::size_t bytes,
          Common::Time now);
// The same for what exists already and cannot be refused.
void holdAnyway(MemoryAccount &account, Holder &holder, HeldKind kind, std::size_t bytes,
                Common::Time now);
// Adds to what `Response` holds without a holder, for a response of which `bytesBefore` are held
// already. Returns false, and changes nothing, if there is no room for it; a response that stays
// small is always held.
bool holdResponse(MemoryAccount &account, std::size_t moreBytes, Common::Time now,
                  std::size_t bytesBefore = 0);
void releaseResponse(MemoryAccount &account, std::size_t bytes);

} // namespace Tanagerbay::Http
