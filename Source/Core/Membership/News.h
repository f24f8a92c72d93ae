// News that instances pass on attached to messages they send anyway. Each item is attached to a
// bounded number of messages, the least repeated first, so that news reach all instances although a
// message carries few of them.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

namespace Tanagerbay::Membership {

template <typename Key, typename Value>
struct NewsItem
{
    Key key;
    Value value;
    std::uint32_t sendCount = 0;
};

template <typename Key, typename Value>
struct News
{
    std::vector<NewsItem<Key, Value>> items;
};

// Number of messages to which each instance attaches an item so that it reaches all of `instances`
// with high probability: a multiple of the logarithm, as in SWIM (Das, Gupta and Motivala, 2002).
inline std::uint32_t newsRepeats(std::size_t instances)
{
    constexpr double kRepeatsPerDoubling = 1.5;
    const double doublings = std::log2(static_cast<double>(instances) + 1);
    return static_cast<std::uint32_t>(std::ceil(kRepeatsPerDoubling * doublings));
}

// Adds an item, replacing an older one with the same key.
template <typename Key, typename Value>
void publish(News<Key, Value> &news, Key key, Value value)
{
    std::erase_if(news.items, [&key](const auto &item) { return item.key == key; });
    news.items.push_back({std::move(key), std::move(value), 0});
}

// Returns up to `count` items for the next message, and removes those that have been sent
// `repeats` times.
template <typename Key, typename Value>
std::vector<Value> takeNews(News<Key, Value> &news, std::size_t count, std::uint32_t repeats)
{
    std::stable_sort(news.items.begin(), news.items.end(),
                     [](const auto &a, const auto &b) { return a.sendCount < b.sendCount; });
    std::vector<Value> taken;
    for (auto &item : news.items) {
        if (taken.size() >= count)
            break;
        taken.push_back(item.value);
        ++item.sendCount;
    }
    std::erase_if(news.items, [repeats](const auto &item) { return item.sendCount >= repeats; });
    return taken;
}

} // namespace Tanagerbay::Membership
