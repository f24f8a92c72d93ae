#include "Storage/TableService.h"

#include "Common/Clock.h"

#include <boost/json.hpp>

namespace Tanagerbay::Storage {

namespace json = boost::json;

namespace {

json::object toJson(const RowName &row)
{
    return {{"table", row.table}, {"key", row.key}};
}

std::string encode(const Transaction &transaction)
{
    json::array checks;
    for (const Check &check : transaction.checks) {
        json::object entry = toJson(check.row);
        entry["version"] = check.version;
        checks.push_back(std::move(entry));
    }
    json::array puts;
    for (const Put &put : transaction.puts) {
        json::object entry = toJson(put.row);
        entry["body"] = put.body;
        if (put.retentionPeriod.count() > 0)
            entry["keepForMs"] = put.retentionPeriod.count();
        puts.push_back(std::move(entry));
    }
    return json::serialize(json::object{{"checks", checks}, {"puts", puts}});
}

bool decodeVersions(const std::string &body, std::vector<std::uint64_t> &versions)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object())
        return false;
    const json::value *entries = document.get_object().if_contains("versions");
    if (!entries || !entries->is_array())
        return false;
    for (const json::value &version : entries->get_array()) {
        if (!version.is_int64())
            return false;
        versions.push_back(static_cast<std::uint64_t>(version.get_int64()));
    }
    return true;
}

bool decodeRow(const json::value &value, Row &row)
{
    if (!value.is_object())
        return false;
    const json::value *version = value.get_object().if_contains("version");
    const json::value *body = value.get_object().if_contains("body");
    if (!version || !version->is_int64() || !body || !body->is_string())
        return false;
    row.version = static_cast<std::uint64_t>(version->get_int64());
    row.body = std::string(body->get_string());
    return true;
}

std::optional<std::vector<Row>> decodeRows(const std::string &body, std::size_t expected)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object())
        return std::nullopt;
    const json::value *entries = document.get_object().if_contains("rows");
    if (!entries || !entries->is_array() || entries->get_array().size() != expected)
        return std::nullopt;
    std::vector<Row> rows(expected);
    for (std::size_t i = 0; i < expected; ++i) {
        if (!decodeRow(entries->get_array()[i], rows[i]))
            return std::nullopt;
    }
    return rows;
}

} // namespace

TableService::TableService(Http::Client &client, Http::Address address,
                           Common::Milliseconds callTimeout, Common::Counters &counters)
    : client(client), address(std::move(address)), callTimeout(callTimeout), counters(counters)
{
}

Http::CallOptions TableService::callOptions(bool repeatable) const
{
    Http::CallOptions options;
    options.deadline = Common::clockNow() + this->callTimeout;
    options.repeatable = repeatable;
    return options;
}

Http::Awaitable<CommitResult> TableService::commit(Transaction transaction)
{
    this->counters.add(Common::Counter::StoreCalls);
    Http::Request request{"POST", "/v1/transactions", {}, encode(transaction)};
    const auto reply
        = co_await this->client.call(this->address, std::move(request), this->callOptions(false));
    CommitResult result;
    if (!reply) {
        result.state = reply.error().written ? CommitState::Unknown : CommitState::NotApplied;
    } else if (reply->status == 409) {
        result.state = CommitState::Conflict;
    } else if (reply->status == 503) {
        // The service sends this status only before it applies the transaction.
        result.state = CommitState::NotApplied;
    } else if (reply->status == 200 && decodeVersions(reply->body, result.versions)) {
        result.state = CommitState::Committed;
    }
    if (result.state == CommitState::Unknown || result.state == CommitState::NotApplied)
        this->counters.add(Common::Counter::StoreFailures);
    co_return result;
}

Http::Awaitable<std::optional<std::vector<Row>>> TableService::read(std::vector<RowName> rows)
{
    this->counters.add(Common::Counter::StoreCalls);
    json::array names;
    for (const RowName &row : rows)
        names.push_back(toJson(row));
    Http::Request request{"POST", "/v1/reads", {}, json::serialize(json::object{{"rows", names}})};
    const auto reply
        = co_await this->client.call(this->address, std::move(request), this->callOptions(true));
    std::optional<std::vector<Row>> decoded;
    if (reply && reply->status == 200)
        decoded = decodeRows(reply->body, rows.size());
    if (!decoded)
        this->counters.add(Common::Counter::StoreFailures);
    co_return decoded;
}

Http::Awaitable<std::optional<Row>> TableService::readOne(RowName row)
{
    std::vector<RowName> names;
    names.push_back(std::move(row));
    auto rows = co_await this->read(std::move(names));
    if (!rows)
        co_return std::nullopt;
    co_return std::move(rows->front());
}

} // namespace Tanagerbay::Storage
