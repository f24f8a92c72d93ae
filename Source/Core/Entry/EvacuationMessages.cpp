#include "Entry/EvacuationMessages.h"

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr const char *kEvacuations = "evacuations";
constexpr const char *kCompleteAt = "at";
constexpr const char *kDomains = "domains";

// Positions of the values of an encoded statement.
enum NewsField : std::size_t {
    DomainField,
    // One if the domain is evacuated.
    StateField,
    EpochField,
    VersionField,
    // How long ago it was read from the store, in milliseconds.
    AgeField,
    FieldCount
};

// An age beyond that is not believed.
constexpr std::chrono::hours kMaxAge{24 * 365};

std::optional<std::uint64_t> unsignedOf(const json::value &value)
{
    boost::system::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

std::optional<StorePosition> readPosition(const json::value &value)
{
    if (!value.is_array() || value.get_array().size() < 2)
        return std::nullopt;
    const auto epoch = unsignedOf(value.get_array()[0]);
    const auto version = unsignedOf(value.get_array()[1]);
    if (!epoch || !version)
        return std::nullopt;
    return StorePosition{*epoch, *version};
}

std::optional<EvacuationNews> readNews(const json::value &value, Common::Time now)
{
    if (!value.is_array() || value.get_array().size() < FieldCount)
        return std::nullopt;
    const json::array &fields = value.get_array();
    const auto state = unsignedOf(fields[StateField]);
    const auto epoch = unsignedOf(fields[EpochField]);
    const auto version = unsignedOf(fields[VersionField]);
    const auto age = unsignedOf(fields[AgeField]);
    if (!fields[DomainField].is_string() || fields[DomainField].get_string().empty() || !state
        || !epoch || !version || !age)
        return std::nullopt;
    const Common::Milliseconds maxAge = kMaxAge;
    const auto bounded = std::min(*age, static_cast<std::uint64_t>(maxAge.count()));
    return EvacuationNews{Common::FailureDomain(std::string(fields[DomainField].get_string())),
                          *state != 0,
                          {*epoch, *version},
                          now - Common::Milliseconds(static_cast<std::int64_t>(bounded))};
}

} // namespace

void attachEvacuations(json::object &message, const EvacuationReport &report, Common::Time now)
{
    json::object encoded;
    if (report.completeAt)
        encoded[kCompleteAt] = json::array{report.completeAt->epoch, report.completeAt->version};
    json::array domains;
    for (const EvacuationNews &news : report.news)
        domains.push_back(json::array{news.domain.value, news.isEvacuated ? 1 : 0,
                                      news.position.epoch, news.position.version,
                                      Common::toMilliseconds(now - news.readAt)});
    if (!domains.empty())
        encoded[kDomains] = std::move(domains);
    if (!encoded.empty())
        message[kEvacuations] = std::move(encoded);
}

EvacuationReport readEvacuations(const json::object &message, Common::Time now)
{
    EvacuationReport report;
    const json::value *found = message.if_contains(kEvacuations);
    if (!found || !found->is_object())
        return report;
    const json::object &encoded = found->get_object();
    if (const json::value *position = encoded.if_contains(kCompleteAt))
        report.completeAt = readPosition(*position);
    const json::value *domains = encoded.if_contains(kDomains);
    if (!domains)
        return report;
    if (!domains->is_array()) {
        report.completeAt.reset();
        return report;
    }
    for (const json::value &value : domains->get_array()) {
        if (auto news = readNews(value, now))
            report.news.push_back(std::move(*news));
        else
            report.completeAt.reset();
    }
    return report;
}

} // namespace Tanagerbay::Entry
