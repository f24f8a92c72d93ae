#include "Entry/EvidenceExchange.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// A datagram with so much evidence and a few reports of instances stays below the usual packet size
// of 1,500 bytes.
constexpr std::size_t kSuspectsPerItem = 16;
constexpr std::size_t kCrashesPerMessage = 2;
constexpr std::size_t kAcquittalsPerMessage = 8;
constexpr const char *kCrashes = "crashes";
constexpr const char *kAcquittals = "acquittals";

// Positions of the values of an encoded crash.
enum CrashField : std::size_t {
    EndpointField,
    IncarnationField,
    AgeField,
    SuspectsField,
    CrashFieldCount
};
// Positions of the values of an encoded acquittal.
enum AcquittalField : std::size_t { TraitField, AcquittalAgeField, AcquittalFieldCount };

json::array toJson(const Quarantine::Crash &crash, Common::Time now)
{
    return {crash.process.endpoint.value, crash.process.incarnation,
            Common::toMilliseconds(now - crash.at),
            json::array(crash.suspects.begin(), crash.suspects.end())};
}

json::array toJson(const Quarantine::Acquittal &acquittal, Common::Time now)
{
    return {acquittal.trait, Common::toMilliseconds(now - acquittal.at)};
}

std::optional<std::uint64_t> unsignedOf(const json::value &value)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    return std::nullopt;
}

// Returns the time that was `value` milliseconds ago.
std::optional<Common::Time> timeOfAge(const json::value &value, Common::Time now)
{
    constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;
    const auto age = unsignedOf(value);
    if (!age || *age > kMaxAgeMs)
        return std::nullopt;
    return now - Common::Milliseconds(*age);
}

std::optional<Quarantine::Crash> readCrash(const json::value &value, Common::Time now)
{
    if (!value.is_array() || value.get_array().size() < CrashFieldCount)
        return std::nullopt;
    const json::array &fields = value.get_array();
    const auto incarnation = unsignedOf(fields[IncarnationField]);
    const auto at = timeOfAge(fields[AgeField], now);
    if (!fields[EndpointField].is_string() || !incarnation || !at
        || !fields[SuspectsField].is_array())
        return std::nullopt;
    Quarantine::Crash crash;
    crash.process.endpoint = Common::EndpointId(std::string(fields[EndpointField].get_string()));
    crash.process.incarnation = *incarnation;
    crash.at = *at;
    for (const json::value &suspect : fields[SuspectsField].get_array()) {
        if (const auto trait = unsignedOf(suspect);
            trait && crash.suspects.size() < Quarantine::kMaxSuspects)
            crash.suspects.push_back(*trait);
    }
    return crash;
}

std::optional<Quarantine::Acquittal> readAcquittal(const json::value &value, Common::Time now)
{
    if (!value.is_array() || value.get_array().size() < AcquittalFieldCount)
        return std::nullopt;
    const auto trait = unsignedOf(value.get_array()[TraitField]);
    const auto at = timeOfAge(value.get_array()[AcquittalAgeField], now);
    if (!trait || !at)
        return std::nullopt;
    return Quarantine::Acquittal{*trait, *at};
}

template <typename Entry>
void attachList(json::object &message, const char *key, const std::vector<Entry> &entries,
                Common::Time now)
{
    if (entries.empty())
        return;
    json::array list;
    for (const Entry &entry : entries)
        list.push_back(toJson(entry, now));
    message[key] = std::move(list);
}

const json::array *listOf(const json::object &message, const char *key)
{
    const json::value *value = message.if_contains(key);
    return value && value->is_array() ? &value->get_array() : nullptr;
}

} // namespace

void publish(EvidenceExchange &exchange, const Quarantine::News &news)
{
    for (const Quarantine::Crash &crash : news.crashes) {
        for (std::size_t begin = 0; begin < std::max<std::size_t>(crash.suspects.size(), 1);
             begin += kSuspectsPerItem) {
            const std::size_t end = std::min(begin + kSuspectsPerItem, crash.suspects.size());
            Quarantine::Crash item{crash.process, crash.at, {}};
            item.suspects.assign(crash.suspects.begin() + static_cast<std::ptrdiff_t>(begin),
                                 crash.suspects.begin() + static_cast<std::ptrdiff_t>(end));
            Membership::publish(exchange.crashes, {crash.process, ++exchange.lastNumber},
                                std::move(item));
        }
    }
    for (const Quarantine::Acquittal &acquittal : news.acquittals)
        Membership::publish(exchange.acquittals, acquittal.trait, acquittal);
}

bool attach(EvidenceExchange &exchange, json::object &message, std::uint32_t repeats,
            Common::Time now)
{
    const auto crashes = Membership::takeNews(exchange.crashes, kCrashesPerMessage, repeats);
    const auto acquittals
        = Membership::takeNews(exchange.acquittals, kAcquittalsPerMessage, repeats);
    attachList(message, kCrashes, crashes, now);
    attachList(message, kAcquittals, acquittals, now);
    return !crashes.empty() || !acquittals.empty();
}

void attachAll(const Quarantine::News &all, json::object &message, Common::Time now)
{
    attachList(message, kCrashes, all.crashes, now);
    attachList(message, kAcquittals, all.acquittals, now);
}

Quarantine::News readEvidence(const json::object &message, Common::Time now)
{
    Quarantine::News news;
    if (const json::array *crashes = listOf(message, kCrashes)) {
        for (const json::value &value : *crashes) {
            if (auto crash = readCrash(value, now))
                news.crashes.push_back(std::move(*crash));
        }
    }
    if (const json::array *acquittals = listOf(message, kAcquittals)) {
        for (const json::value &value : *acquittals) {
            if (const auto acquittal = readAcquittal(value, now))
                news.acquittals.push_back(*acquittal);
        }
    }
    return news;
}

} // namespace Tanagerbay::Entry
