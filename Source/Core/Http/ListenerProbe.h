// Finds out whether a process accepts connections at an address.
#pragma once

#include "Common/Address.h"
#include "Common/Time.h"
#include "Http/Types.h"

#include <boost/asio/any_io_executor.hpp>

namespace Tanagerbay::Http {

enum class ListenerState {
    Accepting,
    // The machine answers that no process listens there.
    Refusing,
    // No answer, as behind a network partition.
    Unknown,
};

// Opens a connection and closes it at once.
Awaitable<ListenerState> probeListener(boost::asio::any_io_executor executor,
                                       Common::Address address, Common::Milliseconds timeout);

} // namespace Tanagerbay::Http
