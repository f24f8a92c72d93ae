// Index of hints on which engine has which prompt prefix in its KV cache.
//
// Hints come from this instance's calls and from the engines' cache events, which arrive with a
// delay and with gaps. A wrong hint costs a prefill but never leads to a wrong answer.
#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>

namespace Tanagerbay::Routing {

// Chained hashes of a prompt's blocks: entry i covers all text up to the end of block i.
using PrefixBlocks = std::vector<std::uint64_t>;

// Hashes the whole blocks of a prompt. Engines do not cache a last block that is incomplete.
PrefixBlocks prefixBlocks(std::string_view prompt, std::size_t blockBytes);

class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxEntries);
    ~PrefixIndex();
    PrefixIndex(const PrefixIndex &) = delete;
    PrefixIndex &operator=(const PrefixIndex &) = delete;

    void noteCached(std::uint64_t block, const Common::EndpointId &endpoint);
    // Removes the hint for the block if it names this endpoint.
    void noteEvicted(std::uint64_t block, const Common::EndpointId &endpoint);

    struct Match
    {
        Common::EndpointId endpoint;
        std::size_t blocks = 0;
    };
    // Returns the endpoint that holds the longest cached prefix according to the hints.
    std::optional<Match> longestMatch(const PrefixBlocks &blocks) const;
    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Entry : boost::intrusive::list_base_hook<>
    {
        std::uint64_t block = 0;
        Common::EndpointId endpoint;
    };

    std::size_t maxEntries;
    std::unordered_map<std::uint64_t, Entry> entries;
    // Entries in eviction order, the least recently updated first.
    boost::intrusive::list<Entry> byAge;
};

} // namespace Tanagerbay::Routing
