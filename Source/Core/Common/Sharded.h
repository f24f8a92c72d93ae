// A hash map whose entries are spread over shards, each protected by its own lock.
#pragma once

#include <array>
#include <functional>
#include <iterator>
#include <mutex>
#include <unordered_map>

namespace Tanagerbay::Common {

template <typename Key, typename Value, std::size_t ShardCount = 16>
class ShardedMap
{
public:
    // Calls `action(value)` with the lock of the key's shard held. A missing value is created
    // first.
    template <typename Action>
    auto with(const Key &key, Action &&action)
    {
        Shard &shard = this->shardOf(key);
        const std::lock_guard<std::mutex> guard(shard.lock);
        return action(shard.values[key]);
    }

    // Calls `action(key, value)` for each entry, locking one shard at a time. Removes the entries
    // for which the action returns false.
    template <typename Action>
    void retainIf(Action &&action)
    {
        for (Shard &shard : this->shards) {
            const std::lock_guard<std::mutex> guard(shard.lock);
            for (auto entry = shard.values.begin(); entry != shard.values.end();) {
                const bool keep = action(entry->first, entry->second);
                entry = keep ? std::next(entry) : shard.values.erase(entry);
            }
        }
    }

    std::size_t size()
    {
        std::size_t total = 0;
        for (Shard &shard : this->shards) {
            const std::lock_guard<std::mutex> guard(shard.lock);
            total += shard.values.size();
        }
        return total;
    }

private:
    struct Shard
    {
        std::mutex lock;
        std::unordered_map<Key, Value> values;
    };

    Shard &shardOf(const Key &key)
    {
        return this->shards[std::hash<Key>()(key) % ShardCount];
    }

    std::array<Shard, ShardCount> shards;
};

} // namespace Tanagerbay::Common
