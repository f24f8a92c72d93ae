// Stand-ins of the platform services: table service, object store and instance list.
#pragma once

#include "Http/Server.h"
#include "StandIns/FaultInjector.h"
#include "StandIns/Settings.h"

#include <deque>
#include <map>
#include <mutex>

namespace Tanagerbay::StandIns {

// Fault targets of the platform services.
inline constexpr const char *kTableServiceTarget = "table-service";
inline constexpr const char *kObjectStoreTarget = "object-store";
inline constexpr const char *kInstanceListTarget = "instance-list";

// A table service: versioned rows and conditional transactions. Thread-safe.
class TableStandIn
{
public:
    TableStandIn(FaultInjector &faults, Common::Milliseconds latency);

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

    FaultInjector &faults;
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
    ObjectStoreStandIn(FaultInjector &faults, Common::Milliseconds latency);

    Http::Awaitable<void> handle(Http::Exchange &exchange);
    std::size_t objectCount();

private:
    Http::Response apply(const Http::Request &request);

    FaultInjector &faults;
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
    // Version of the instance's software; empty if the list does not state it.
    std::string version;
};

class InstanceListStandIn
{
public:
    InstanceListStandIn(FaultInjector &faults, Common::Milliseconds lag);

    Http::Awaitable<void> handle(Http::Exchange &exchange);
    // Adds or replaces an instance. Readers see the change after the lag.
    void put(const InstanceRecord &record, Common::Time now);
    // Sets the state of an instance: live, leaving or gone (removed). Returns false if the instance
    // is unknown.
    bool change(const std::string &id, std::string_view state, Common::Time now);
    // Sets the software version of an instance. Returns false if the instance is unknown.
    bool changeVersion(const std::string &id, const std::string &version, Common::Time now);

private:
    using Records = std::map<std::string, InstanceRecord>;
    struct Version
    {
        Common::Time visibleAt;
        Records records;
    };

    void publish(Records records, Common::Time now);
    std::string render(Common::Time now);

    FaultInjector &faults;
    Common::Milliseconds lag;
    std::mutex lock;
    Records latest;
    std::deque<Version> versions;
};

} // namespace Tanagerbay::StandIns
