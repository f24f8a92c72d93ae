#include "Load/EntryDirectory.h"

#include "Common/Clock.h"
#include "Common/JsonReader.h"

#include <algorithm>

namespace Tanagerbay::Load {

namespace {

constexpr Common::Milliseconds kFetchTimeout{500};
// Interval between refreshes while no entry answers; the expired list stays in use meanwhile.
constexpr Common::Milliseconds kRefreshRetryInterval{200};

} // namespace

EntryDirectory::EntryDirectory(Http::Client &client, std::vector<Http::Address> targets,
                               std::uint64_t seed)
    : client(client), targets(std::move(targets)), random(seed)
{
}

Http::Awaitable<bool> EntryDirectory::fetchFrom(Http::Address address)
{
    Http::CallOptions options;
    options.deadline = Common::clockNow() + kFetchTimeout;
    Http::Request request{"GET", "/v1/entries", {}, ""};
    const auto reply = co_await this->client.call(address, std::move(request), options);
    if (!reply || reply->status != 200)
        co_return false;
    Common::JsonFaults faults;
    const auto document = Common::parseJson(reply->body, faults);
    if (!document)
        co_return false;
    Common::ObjectReader reader(*document, "", faults);
    const auto ttl = Common::Milliseconds(reader.integer("ttlMs", 1, 3'600'000));
    std::vector<Entry> fetched;
    for (const boost::json::value &value : reader.array("entries", true)) {
        Common::ObjectReader entry(value, "", faults);
        Entry parsed;
        parsed.weight = entry.number("weight", 0, 1e9);
        if (Http::parseAddress(entry.text("address"), parsed.address))
            fetched.push_back(parsed);
    }
    if (!faults.empty() || fetched.empty())
        co_return false;
    this->entries = std::move(fetched);
    this->validUntil = Common::clockNow() + ttl;
    co_return true;
}

Http::Awaitable<bool> EntryDirectory::refresh()
{
    std::vector<Http::Address> candidates;
    for (const Entry &entry : this->entries)
        candidates.push_back(entry.address);
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    std::vector<Http::Address> others = this->targets;
    std::shuffle(others.begin(), others.end(), this->random);
    candidates.insert(candidates.end(), others.begin(), others.end());
    for (const Http::Address &candidate : candidates) {
        if (co_await this->fetchFrom(candidate))
            co_return true;
    }
    this->validUntil = Common::clockNow() + kRefreshRetryInterval;
    co_return false;
}

std::optional<Http::Address> EntryDirectory::drawEntry()
{
    double total = 0;
    for (const Entry &entry : this->entries)
        total += entry.weight;
    if (total <= 0)
        return std::nullopt;
    std::uniform_real_distribution<double> distribution(0, total);
    double remaining = distribution(this->random);
    for (const Entry &entry : this->entries) {
        remaining -= entry.weight;
        if (remaining <= 0)
            return entry.address;
    }
    return this->entries.back().address;
}

Http::Awaitable<std::optional<Http::Address>> EntryDirectory::pickEntry()
{
    const bool expired = Common::clockNow() >= this->validUntil;
    // One request refreshes an expired list; the others use the expired list meanwhile.
    if (this->entries.empty() || (expired && !this->refreshing)) {
        this->refreshing = true;
        co_await this->refresh();
        this->refreshing = false;
    }
    co_return this->drawEntry();
}

void EntryDirectory::exclude(const Http::Address &address)
{
    std::erase_if(this->entries,
                  [&address](const Entry &entry) { return entry.address == address; });
}

} // namespace Tanagerbay::Load
