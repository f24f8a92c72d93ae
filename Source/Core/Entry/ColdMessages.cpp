#include "Entry/ColdMessages.h"

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr const char *kColdEndpoints = "coldEndpoints";
// A longer time is not believed.
constexpr std::int64_t kMaxLeftMs = 3600 * 1000;

} // namespace

void attachColdNews(json::object &message, const std::vector<ColdNews> &news)
{
    if (news.empty())
        return;
    json::array list;
    for (const ColdNews &item : news)
        list.push_back(json::array{item.endpoint.value, item.left.count()});
    message[kColdEndpoints] = std::move(list);
}

std::vector<ColdNews> readColdNews(const json::object &message)
{
    std::vector<ColdNews> news;
    const json::value *list = message.if_contains(kColdEndpoints);
    if (!list || !list->is_array())
        return news;
    for (const json::value &value : list->get_array()) {
        if (!value.is_array() || value.get_array().size() < 2)
            continue;
        const json::array &fields = value.get_array();
        boost::system::error_code error;
        const auto left = fields[1].to_number<std::int64_t>(error);
        if (fields[0].is_string() && !error && left > 0 && left <= kMaxLeftMs)
            news.push_back({Common::EndpointId(std::string(fields[0].get_string())),
                            Common::Milliseconds(left)});
    }
    return news;
}

} // namespace Tanagerbay::Entry
