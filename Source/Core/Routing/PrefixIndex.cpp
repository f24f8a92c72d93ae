#include "Routing/PrefixIndex.h"

#include "Common/Hash.h"

namespace Tanagerbay::Routing {

PrefixBlocks prefixBlocks(std::string_view prompt, std::size_t blockBytes)
{
    PrefixBlocks blocks;
    std::uint64_t chained = 0;
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        chained = Common::hash64(prompt.substr(start, blockBytes), chained);
        blocks.push_back(chained);
    }
    return blocks;
}

PrefixIndex::PrefixIndex(std::size_t maxEntries) : maxEntries(maxEntries)
{
}

PrefixIndex::~PrefixIndex()
{
    this->byAge.clear();
}

void PrefixIndex::noteCached(std::uint64_t block, const Common::EndpointId &endpoint)
{
    Entry &entry = this->entries[block];
    if (entry.is_linked())
        this->byAge.erase(this->byAge.iterator_to(entry));
    entry.block = block;
    entry.endpoint = endpoint;
    this->byAge.push_back(entry);
    if (this->entries.size() <= this->maxEntries)
        return;
    const std::uint64_t oldest = this->byAge.front().block;
    this->byAge.pop_front();
    this->entries.erase(oldest);
}

void PrefixIndex::noteEvicted(std::uint64_t block, const Common::EndpointId &endpoint)
{
    const auto found = this->entries.find(block);
    if (found == this->entries.end() || found->second.endpoint != endpoint)
        return;
    this->byAge.erase(this->byAge.iterator_to(found->second));
    this->entries.erase(found);
}

std::optional<PrefixIndex::Match> PrefixIndex::longestMatch(const PrefixBlocks &blocks) const
{
    for (std::size_t count = blocks.size(); count > 0; --count) {
        const auto found = this->entries.find(blocks[count - 1]);
        if (found != this->entries.end())
            return Match{found->second.endpoint, count};
    }
    return std::nullopt;
}

} // namespace Tanagerbay::Routing
