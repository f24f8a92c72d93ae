// Stand-ins of the platform: table service, object store and the lagging instance list.
#pragma once

#include "Http/Server.h"
#include "StandIns/FaultBoard.h"
#include "StandIns/Settings.h"

#include <deque>
#include <map>
#include <mutex>

namespace Tanagerbay::StandIns {

// Names of the platform's parts as fault targets.
inline constexpr const char *kTableServiceTarget = "table-service";
inline constexpr const char *kObjectStoreTarget = "object-store";
inline constexpr const char *kInstanceListTarget = "instance-list";

// Rows with versions and conditional transactions. Safe to use from every thread.
class TableStandIn
{
public:
    TableStandIn(FaultBoard &faults, Common::Milliseconds latency);

    Http::Awaitable<void> handle(Http::Exchange &exchange);
    std::uint64_t transactionCount() const
    {
        return this->transactions.load();
    }
    std::uint64_t putCount() const
    {
        return this->puts.load();
    }
    std::uint64_t readCount() const
    {
        return this->reads.load();
    }

private:
    struct Row
    {
        std::uint64_t version = 0;
        std::string body;
    };
    using RowKey = std::pair<std::string, std::string>;

    Http::Response transact(const boost::json::value &document);
    Http::Response readRows(const boost::json::value &document);

    FaultBoard &faults;
    Common::Milliseconds latency;
    std::mutex lock;
    std::map<RowKey, Row> rows;
    std::atomic<std::uint64_t> transactions{0};
    std::atomic<std::uint64_t> puts{0};
    std::atomic<std::uint64_t> reads{0};
};

class ObjectStoreStandIn
{
public:
    ObjectStoreStandIn(FaultBoard &faults, Common::Milliseconds latency);

    Http::Awaitable<void> handle(Http::Exchange &exchange);
    std::size_t objectCount();

private:
    Http::Response apply(const Http::Request &request);

    FaultBoard &faults;
    Common::Milliseconds latency;
    std::mutex lock;
    std::map<std::string, std::string, std::less<>> objects;
};

struct InstanceRecord
{
    std::string id;
    std::string pool;
    Common::Address address;
    Common::Address peerAddress;
    Common::FailureDomain failureDomain;
    bool leaving = false;
};

class InstanceListStandIn
{
public:
    InstanceListStandIn(FaultBoard &faults, Common::Milliseconds lag);

    Http::Awaitable<void> handle(Http::Exchange &exchange);
    // Adds or replaces an instance. Readers see it after the lag.
    void put(const InstanceRecord &record, Common::Time now);
    // Changes one instance's state: live, leaving or gone. Returns false where it is unknown.
    bool change(const std::string &id, std::string_view state, Common::Time now);

private:
    using Records = std::map<std::string, InstanceRecord>;
    struct Version
    {
        Common::Time visibleAt;
        Records records;
    };

    void publish(Records records, Common::Time now);
    std::string render(Common::Time now);

    FaultBoard &faults;
    Common::Milliseconds lag;
    std::mutex lock;
    Records latest;
    std::deque<Version> versions;
};

} // namespace Tanagerbay::StandIns
