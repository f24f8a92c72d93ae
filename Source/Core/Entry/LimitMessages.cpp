#include "Entry/LimitMessages.h"

#include <cmath>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr const char *kLimits = "endpointLimits";

// Positions of the values of an encoded limit.
enum LimitField : std::size_t {
    EndpointField,
    IncarnationField,
    VersionField,
    // Null if the limit has ended.
    PerSecondField,
    FieldCount
};

std::optional<std::uint64_t> unsignedOf(const json::value &value)
{
    boost::system::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

std::optional<LimitNews> readLimit(const json::value &value)
{
    if (!value.is_array() || value.get_array().size() < FieldCount)
        return std::nullopt;
    const json::array &fields = value.get_array();
    const auto incarnation = unsignedOf(fields[IncarnationField]);
    const auto version = unsignedOf(fields[VersionField]);
    if (!fields[EndpointField].is_string() || !incarnation || !version || *version == 0)
        return std::nullopt;
    LimitNews news;
    news.first
        = {Common::EndpointId(std::string(fields[EndpointField].get_string())), *incarnation};
    news.second.version = *version;
    if (fields[PerSecondField].is_null())
        return news;
    boost::system::error_code error;
    const auto perSecond = fields[PerSecondField].to_number<double>(error);
    if (error || !std::isfinite(perSecond) || perSecond < 0)
        return std::nullopt;
    news.second.perSecond = perSecond;
    return news;
}

} // namespace

void attachLimits(json::object &message, const std::vector<LimitNews> &limits)
{
    if (limits.empty())
        return;
    json::array list;
    for (const auto &[process, limit] : limits) {
        const json::value perSecond = limit.perSecond ? json::value(*limit.perSecond) : nullptr;
        list.push_back(
            json::array{process.endpoint.value, process.incarnation, limit.version, perSecond});
    }
    message[kLimits] = std::move(list);
}

std::vector<LimitNews> readLimits(const json::object &message)
{
    std::vector<LimitNews> limits;
    const json::value *list = message.if_contains(kLimits);
    if (!list || !list->is_array())
        return limits;
    for (const json::value &value : list->get_array()) {
        if (const auto news = readLimit(value))
            limits.push_back(*news);
    }
    return limits;
}

} // namespace Tanagerbay::Entry
