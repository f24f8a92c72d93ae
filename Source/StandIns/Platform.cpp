#include "StandIns/Platform.h"

#include "Common/Clock.h"
#include "Common/JsonReader.h"
#include "StandIns/CallEndpoint.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::StandIns {

namespace asio = boost::asio;
namespace json = boost::json;

using Common::clockNow;

namespace {

// Waits for the latency of the store, multiplied under the fault `slow`.
Http::Awaitable<void> simulateLatency(FaultInjector &faults, const char *target,
                                      Common::Milliseconds latency)
{
    Common::Duration duration = latency;
    if (const auto slow = faults.trigger(target, FaultKind::Slow, clockNow()))
        duration = std::chrono::duration_cast<Common::Duration>(duration * slow->value);
    if (duration.count() == 0)
        co_return;
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string textOf(const json::value &object, std::string_view key)
{
    const json::value *member = object.get_object().if_contains({key.data(), key.size()});
    return member && member->is_string() ? std::string(member->get_string()) : std::string();
}

std::uint64_t versionOf(const json::value &object)
{
    const json::value *member = object.get_object().if_contains("version");
    return member && member->is_int64() ? static_cast<std::uint64_t>(member->get_int64()) : 0;
}

const json::array *arrayOf(const json::value &object, std::string_view key)
{
    if (!object.is_object())
        return nullptr;
    const json::value *member = object.get_object().if_contains({key.data(), key.size()});
    return member ? member->if_array() : nullptr;
}

Http::Response badRequest()
{
    return Http::jsonResponse(400, R"({"error":"bad request"})");
}

} // namespace

TableStandIn::TableStandIn(FaultInjector &faults, Common::Milliseconds latency)
    : faults(faults), latency(latency)
{
}

Http::Awaitable<void> TableStandIn::handle(Http::Exchange &exchange)
{
    if (!co_await applyRequestFaults(exchange, this->faults, kTableServiceTarget))
        co_return;
    co_await simulateLatency(this->faults, kTableServiceTarget, this->latency);
    const Http::Request &request = exchange.request();
    boost::system::error_code error;
    const json::value document = json::parse(request.body, error);
    Http::Response response = badRequest();
    if (!error && request.target == "/v1/transactions")
        response = this->transact(document);
    else if (!error && request.target == "/v1/reads")
        response = this->readRows(document);
    if (!shouldSendReply(this->faults, kTableServiceTarget))
        co_return;
    co_await exchange.respond(std::move(response));
}

Http::Response TableStandIn::transact(const json::value &document)
{
    const json::array *checks = arrayOf(document, "checks");
    const json::array *newRows = arrayOf(document, "puts");
    if (!checks || !newRows)
        return badRequest();
    ++this->transactions;
    const std::lock_guard<std::mutex> guard(this->lock);
    for (const json::value &check : *checks) {
        const auto found = this->rows.find({textOf(check, "table"), textOf(check, "key")});
        const std::uint64_t version = found == this->rows.end() ? 0 : found->second.version;
        if (version != versionOf(check))
            return Http::jsonResponse(409, R"({"conflict":true})");
    }
    json::array versions;
    for (const json::value &put : *newRows) {
        Row &row = this->rows[{textOf(put, "table"), textOf(put, "key")}];
        row.body = textOf(put, "body");
        ++row.version;
        ++this->puts;
        versions.emplace_back(row.version);
    }
    return Http::jsonResponse(200, json::serialize(json::object{{"versions", versions}}));
}

Http::Response TableStandIn::readRows(const json::value &document)
{
    const json::array *names = arrayOf(document, "rows");
    if (!names)
        return badRequest();
    this->reads += names->size();
    const std::lock_guard<std::mutex> guard(this->lock);
    json::array result;
    for (const json::value &name : *names) {
        const auto found = this->rows.find({textOf(name, "table"), textOf(name, "key")});
        const Row row = found == this->rows.end() ? Row{} : found->second;
        result.push_back(json::object{{"version", row.version}, {"body", row.body}});
    }
    return Http::jsonResponse(200, json::serialize(json::object{{"rows", result}}));
}

ObjectStoreStandIn::ObjectStoreStandIn(FaultInjector &faults, Common::Milliseconds latency)
    : faults(faults), latency(latency)
{
}

Http::Awaitable<void> ObjectStoreStandIn::handle(Http::Exchange &exchange)
{
    if (!co_await applyRequestFaults(exchange, this->faults, kObjectStoreTarget))
        co_return;
    co_await simulateLatency(this->faults, kObjectStoreTarget, this->latency);
    Http::Response response = this->apply(exchange.request());
    if (!shouldSendReply(this->faults, kObjectStoreTarget))
        co_return;
    co_await exchange.respond(std::move(response));
}

Http::Response ObjectStoreStandIn::apply(const Http::Request &request)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    const auto found = this->objects.find(request.target);
    if (request.method == "PUT") {
        this->objects[request.target] = request.body;
        return Http::jsonResponse(200, "{}");
    }
    if (found == this->objects.end())
        return Http::jsonResponse(404, R"({"error":"not found"})");
    if (request.method == "DELETE") {
        this->objects.erase(found);
        return Http::jsonResponse(200, "{}");
    }
    return Http::jsonResponse(200, found->second);
}

std::size_t ObjectStoreStandIn::objectCount()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->objects.size();
}

InstanceListStandIn::InstanceListStandIn(FaultInjector &faults, Common::Milliseconds lag)
    : faults(faults), lag(lag)
{
}

void InstanceListStandIn::publish(Records records, Common::Time now)
{
    this->latest = records;
    // The first list is visible at once, since there is no older one.
    const Common::Time visibleAt = this->versions.empty() ? now : now + this->lag;
    this->versions.push_back({visibleAt, std::move(records)});
}

void InstanceListStandIn::put(const InstanceRecord &record, Common::Time now)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    Records records = this->latest;
    records[record.id] = record;
    this->publish(std::move(records), now);
}

bool InstanceListStandIn::change(const std::string &id, std::string_view state, Common::Time now)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    Records records = this->latest;
    const auto found = records.find(id);
    if (found == records.end())
        return false;
    if (state == "gone")
        records.erase(found);
    else
        found->second.leaving = state == "leaving";
    this->publish(std::move(records), now);
    return true;
}

bool InstanceListStandIn::changeVersion(const std::string &id, const std::string &version,
                                        Common::Time now)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    Records records = this->latest;
    const auto found = records.find(id);
    if (found == records.end())
        return false;
    found->second.version = version;
    this->publish(std::move(records), now);
    return true;
}

std::string InstanceListStandIn::render(Common::Time now)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    while (this->versions.size() > 1 && this->versions[1].visibleAt <= now)
        this->versions.pop_front();
    json::array list;
    if (!this->versions.empty()) {
        for (const auto &[id, record] : this->versions.front().records) {
            json::object entry{
                {"id", record.id},
                {"address", Common::formatAddress(record.address)},
                {"failureDomain", record.failureDomain.value},
                {"state", record.leaving ? "leaving" : "live"},
            };
            if (!record.pool.empty())
                entry["pool"] = record.pool;
            if (record.peerAddress.isSet())
                entry["peerAddress"] = Common::formatAddress(record.peerAddress);
            if (!record.version.empty())
                entry["version"] = record.version;
            list.push_back(std::move(entry));
        }
    }
    return json::serialize(json::object{{"instances", list}});
}

Http::Awaitable<void> InstanceListStandIn::handle(Http::Exchange &exchange)
{
    if (!co_await applyRequestFaults(exchange, this->faults, kInstanceListTarget))
        co_return;
    Http::Response response = Http::jsonResponse(200, this->render(clockNow()));
    co_await exchange.respond(std::move(response));
}

} // namespace Tanagerbay::StandIns
