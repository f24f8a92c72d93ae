// The records of where streams began, in the form in which the store keeps them: rows of many
// records each, written once and removed when all their records have expired.
#pragma once

#include "Entry/Ports.h"
#include "Serving/StreamOrigins.h"

#include <set>

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

// Where a stream began, as kept for the time after all instances have ended.
struct StreamRecord
{
    std::string attempt;
    Serving::StreamOrigin origin;
    // Whether the process of the origin is certain. Otherwise the stream may have begun at the
    // successor of that process.
    bool isConfirmed = false;
};

// Relates the store's steady clock, which outlives the instances, to the one of this process.
struct StoreClock
{
    Common::Milliseconds storeTime{0};
    // When the store stated that time.
    Common::Time at;
};
Common::Milliseconds toStoreTime(const StoreClock &clock, Common::Time time);

// A row that this instance has written or read.
struct StreamRecordRow
{
    // Empty for rows of other processes.
    std::string value;
    // The versions that its records name.
    std::set<ServiceVersion> versions;
    // When the last of its records expires.
    Common::Time expiresAt;
    bool isStored = false;
};
using StreamRecordRows = std::map<std::string, StreamRecordRow>;

struct StreamRowChanges
{
    std::vector<StoredText> added;
    // Versions that the added rows name.
    std::set<ServiceVersion> versions;
    std::vector<std::string> removed;
};

// What a row holds. Records that have expired are left out.
struct StreamRowContent
{
    // Epoch of the store in which the row was written.
    std::uint64_t epoch = 0;
    std::vector<StreamRecord> records;
    Common::Time expiresAt;
};

// Number of instances that share the duty of keeping records, among so many: they write what
// others report, and read the rows after their start. The number of writes does not depend on the
// number of streams, and hardly on that of instances.
std::size_t recordKeeperCount(std::size_t instances);
// The same for those among them to which others report.
std::size_t recordWriterCount(std::size_t instances);

// Message by which instances report records to a keeper.
boost::json::array toJson(const std::vector<StreamRecord> &records, Common::Time now);
// Entries that cannot be read are left out.
std::vector<StreamRecord> readStreamRecords(const boost::json::value &value, Common::Time now);

// Moves records from the front of `pending` into a row, as many as it may hold. Returns nothing if
// all have expired.
std::optional<StreamRecordRow> makeRow(std::vector<StreamRecord> &pending, std::uint64_t epoch,
                                       const StoreClock &clock, Common::Time now);
// Returns nothing if the value cannot be read.
std::optional<StreamRowContent> readRow(const std::string &value, const StoreClock &clock,
                                        Common::Time now);

// Returns what to change in the store with one call: rows that are not stored yet, and rows that
// have expired. The latter alone only once no other row is left.
StreamRowChanges nextChanges(const StreamRecordRows &rows, Common::Time now);
// Applies the changes after the store has confirmed them.
void applyChanges(StreamRecordRows &rows, const StreamRowChanges &changes);
// Makes the rows that this instance has written be written again, after the store has returned from
// an older copy.
void forgetStored(StreamRecordRows &rows);

// Returns whether a record that was read from the store tells where the stream certainly began.
// `hasRunSince` tells whether the list, read after the record was, shows that the process of its
// origin has run since; `listEpoch` is the epoch of that reading.
bool isCertain(const StreamRecord &record, std::uint64_t rowEpoch, std::uint64_t listEpoch,
               bool hasRunSince);

} // namespace Tanagerbay::Entry
