// Client of the platform's list of instances, `GET /v1/instances`. The list lags behind the actual
// state.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"
#include "Http/Client.h"

#include <optional>

namespace Tanagerbay::Storage {

enum class InstanceState { Live, Leaving };

} // namespace Tanagerbay::Storage

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Storage::InstanceState>
{
    using State = Storage::InstanceState;
    static constexpr NameTable<State, 2> table
        = {{{State::Live, "live"}, {State::Leaving, "leaving"}}};
};

namespace Tanagerbay::Storage {

struct ListedInstance
{
    Common::InstanceId id;
    // The pool that the instance serves; empty for an entry instance.
    std::string pool;
    Http::Address address;
    // Where an entry instance accepts connections of its peers; unset for endpoints.
    Http::Address peerAddress;
    Common::FailureDomain failureDomain;
    InstanceState state = InstanceState::Live;
    // Version of the instance's software; empty if the list does not state it.
    std::string version;
};

class InstanceList
{
public:
    InstanceList(Http::Client &client, Http::Address address, Common::Milliseconds callTimeout);

    // Returns the list, or nothing if it could not be read.
    Http::Awaitable<std::optional<std::vector<ListedInstance>>> read();

private:
    Http::Client &client;
    Http::Address address;
    Common::Milliseconds callTimeout;
};

} // namespace Tanagerbay::Storage
