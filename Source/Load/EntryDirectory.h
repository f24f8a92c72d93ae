// Selects the entry for each request. It fetches the list of entries from the system, caches it for
// the time to live that came with it, and draws an address at random by weight.
#pragma once

#include "Common/Time.h"
#include "Http/Client.h"

#include <optional>
#include <random>
#include <vector>

namespace Tanagerbay::Load {

// Used on one executor only.
class EntryDirectory
{
public:
    EntryDirectory(Http::Client &client, std::vector<Http::Address> targets, std::uint64_t seed);

    // Returns the entry to use, or nothing if none is available.
    Http::Awaitable<std::optional<Http::Address>> pickEntry();
    // Removes an entry that is unreachable or leaving from the cached list, until the next refresh.
    void exclude(const Http::Address &address);

private:
    struct Entry
    {
        Http::Address address;
        double weight = 1;
    };

    Http::Awaitable<bool> refresh();
    Http::Awaitable<bool> fetchFrom(Http::Address address);
    std::optional<Http::Address> drawEntry();

    Http::Client &client;
    std::vector<Http::Address> targets;
    std::vector<Entry> entries;
    Common::Time validUntil;
    bool refreshing = false;
    std::mt19937_64 random;
};

} // namespace Tanagerbay::Load
