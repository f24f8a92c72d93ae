#include "Entry/StreamRecordRows.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// A third one is left if two fail together.
constexpr std::size_t kMinKeepers = 3;
constexpr std::size_t kInstancesPerWriter = 32;
constexpr std::size_t kMaxRecordsPerRow = 128;
// Encoded as base64, a call with the most rows stays below the store's limit of 1 MB.
constexpr std::size_t kMaxRowBytes = 32 << 10;
constexpr std::size_t kMaxAddedRows = 20;
// A call may hold 100 entries: rows that are added and removed, and the versions that they name.
constexpr std::size_t kMaxRemovedRows = 40;
constexpr std::size_t kMaxVersions = 40;

// Positions of the values of a record.
enum RecordField : std::size_t {
    Attempt,
    Service,
    Version,
    Endpoint,
    Incarnation,
    // Both in milliseconds: in a message the age and the time left, in a row the store's time.
    SentAt,
    ExpiresAt,
    IsConfirmed,
    FieldCount,
    // Instances of earlier releases do not write the fields from here on. What they take for
    // confirmed may be the successor of the process that the list named.
    IsKnown = FieldCount,
    KnownFieldCount,
    // What the list named when the stream was sent, of a record that is not confirmed. Instances of
    // earlier releases take it for certain if it stands in the fields above.
    ListedIncarnation = KnownFieldCount,
    ListedVersion,
    AllFieldCount
};

// What instances of earlier releases read as a version that no endpoint has.
constexpr const char *kUnlistedVersion = "(not listed)";

// Times as a message or a row states them.
struct StatedTimes
{
    Common::Milliseconds sentAt{0};
    Common::Milliseconds expiresAt{0};
};

Common::Milliseconds milliseconds(Common::Duration duration)
{
    return std::chrono::duration_cast<Common::Milliseconds>(duration);
}

json::array encode(const StreamRecord &record, const StatedTimes &times)
{
    const Serving::StreamOrigin &origin = record.origin;
    json::array fields{record.attempt,
                       origin.service,
                       kUnlistedVersion,
                       origin.endpoint.value,
                       0,
                       times.sentAt.count(),
                       times.expiresAt.count(),
                       false,
                       record.isConfirmed};
    if (record.isConfirmed) {
        fields[Version] = origin.version;
        fields[Incarnation] = origin.incarnation;
        fields[IsConfirmed] = true;
    } else {
        fields.emplace_back(origin.incarnation);
        fields.emplace_back(origin.version);
    }
    return fields;
}

// Reads all but the times, which are returned.
std::optional<StatedTimes> decode(const json::value &value, StreamRecord &record)
{
    const json::array *fields = value.if_array();
    if (!fields || fields->size() < FieldCount)
        return std::nullopt;
    for (const RecordField field : {Attempt, Service, Version, Endpoint}) {
        if (!(*fields)[field].is_string())
            return std::nullopt;
    }
    boost::system::error_code errors[3];
    const auto incarnation = (*fields)[Incarnation].to_number<std::uint64_t>(errors[0]);
    const auto sentAt = (*fields)[SentAt].to_number<std::int64_t>(errors[1]);
    const auto expiresAt = (*fields)[ExpiresAt].to_number<std::int64_t>(errors[2]);
    if (errors[0] || errors[1] || errors[2] || !(*fields)[IsConfirmed].is_bool())
        return std::nullopt;
    record.attempt = (*fields)[Attempt].get_string();
    record.origin.service = (*fields)[Service].get_string();
    record.origin.version = (*fields)[Version].get_string();
    record.origin.endpoint = Common::EndpointId(std::string((*fields)[Endpoint].get_string()));
    record.origin.incarnation = incarnation;
    record.isConfirmed = fields->size() >= KnownFieldCount && (*fields)[IsKnown].is_bool()
        && (*fields)[IsKnown].get_bool();
    record.origin.isVersionKnown = record.isConfirmed;
    if (fields->size() >= AllFieldCount && !record.isConfirmed) {
        const auto listed = (*fields)[ListedIncarnation].to_number<std::uint64_t>(errors[0]);
        if (errors[0] || !(*fields)[ListedVersion].is_string())
            return std::nullopt;
        record.origin.incarnation = listed;
        record.origin.version = (*fields)[ListedVersion].get_string();
    }
    if (record.attempt.empty())
        return std::nullopt;
    return StatedTimes{Common::Milliseconds(sentAt), Common::Milliseconds(expiresAt)};
}

// The connection was established after the send had begun, unless it was used again.
Common::Time sentBy(const Serving::StreamOrigin &origin)
{
    return std::max(origin.sentAt, origin.connectedBy);
}

// A record from elsewhere may state any times.
void setTimes(Serving::StreamOrigin &origin, Common::Milliseconds age, Common::Milliseconds left,
              Common::Time now)
{
    const Common::Milliseconds none{0};
    origin.sentAt = now - std::clamp(age, none, Serving::kMaxStreamOriginLifetime);
    origin.connectedBy = origin.sentAt;
    origin.expiresAt = now + std::clamp(left, none, Serving::kMaxStreamOriginLifetime);
}

} // namespace

Common::Milliseconds toStoreTime(const StoreClock &clock, Common::Time time)
{
    return clock.storeTime + milliseconds(time - clock.at);
}

std::size_t recordKeeperCount(std::size_t instances)
{
    return std::max(kMinKeepers, recordWriterCount(instances));
}

std::size_t recordWriterCount(std::size_t instances)
{
    return 1 + instances / kInstancesPerWriter;
}

json::array toJson(const std::vector<StreamRecord> &records, Common::Time now)
{
    json::array entries;
    for (const StreamRecord &record : records)
        entries.push_back(encode(record,
                                 {milliseconds(now - sentBy(record.origin)),
                                  milliseconds(record.origin.expiresAt - now)}));
    return entries;
}

std::vector<StreamRecord> readStreamRecords(const json::value &value, Common::Time now)
{
    std::vector<StreamRecord> records;
    const json::array *entries = value.if_array();
    for (std::size_t i = 0; entries && i < entries->size(); ++i) {
        StreamRecord record;
        const auto times = decode((*entries)[i], record);
        if (!times)
            continue;
        setTimes(record.origin, times->sentAt, times->expiresAt, now);
        records.push_back(std::move(record));
    }
    return records;
}

std::optional<StreamRecordRow> makeRow(std::vector<StreamRecord> &pending, std::uint64_t epoch,
                                       const StoreClock &clock, Common::Time now)
{
    StreamRecordRow row;
    json::array entries;
    std::size_t bytes = 0;
    std::size_t taken = 0;
    for (; taken < pending.size() && entries.size() < kMaxRecordsPerRow; ++taken) {
        const StreamRecord &record = pending[taken];
        if (record.origin.expiresAt <= now)
            continue;
        const ServiceVersion version{record.origin.service, record.origin.version};
        if (row.versions.size() == kMaxVersions && !row.versions.contains(version))
            break;
        json::array entry = encode(record,
                                   {toStoreTime(clock, sentBy(record.origin)),
                                    toStoreTime(clock, record.origin.expiresAt)});
        const std::size_t size = json::serialize(entry).size() + 1;
        // One that is longer than a row may be cannot be kept.
        if (size > kMaxRowBytes)
            continue;
        if (bytes + size > kMaxRowBytes)
            break;
        bytes += size;
        entries.push_back(std::move(entry));
        row.versions.insert(version);
        row.expiresAt = std::max(row.expiresAt, record.origin.expiresAt);
    }
    pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(taken));
    if (entries.empty())
        return std::nullopt;
    row.value = json::serialize(json::object{{"epoch", epoch}, {"records", std::move(entries)}});
    return row;
}

std::optional<StreamRowContent> readRow(const std::string &value, const StoreClock &clock,
                                        Common::Time now)
{
    boost::system::error_code error;
    const json::value document = json::parse(value, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::value *epoch = object ? object->if_contains("epoch") : nullptr;
    const json::value *entries = object ? object->if_contains("records") : nullptr;
    if (!epoch || !entries || !entries->is_array())
        return std::nullopt;
    StreamRowContent content;
    content.epoch = epoch->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    for (const json::value &entry : entries->get_array()) {
        StreamRecord record;
        const auto times = decode(entry, record);
        if (!times)
            return std::nullopt;
        const Common::Milliseconds storeTime = toStoreTime(clock, now);
        setTimes(record.origin, storeTime - times->sentAt, times->expiresAt - storeTime, now);
        if (record.origin.expiresAt <= now)
            continue;
        content.expiresAt = std::max(content.expiresAt, record.origin.expiresAt);
        content.records.push_back(std::move(record));
    }
    return content;
}

StreamRowChanges nextChanges(const StreamRecordRows &rows, Common::Time now)
{
    StreamRowChanges changes;
    bool isAnyLeft = false;
    for (const auto &[key, row] : rows) {
        const bool hasExpired = row.expiresAt <= now;
        isAnyLeft = isAnyLeft || !hasExpired;
        if (hasExpired && row.isStored && changes.removed.size() < kMaxRemovedRows)
            changes.removed.push_back(key);
        if (hasExpired || row.isStored || changes.added.size() == kMaxAddedRows)
            continue;
        std::set<ServiceVersion> versions = changes.versions;
        versions.insert(row.versions.begin(), row.versions.end());
        if (versions.size() > kMaxVersions)
            continue;
        changes.added.push_back({key, row.value});
        changes.versions = std::move(versions);
    }
    if (changes.added.empty() && isAnyLeft)
        changes.removed.clear();
    return changes;
}

void applyChanges(StreamRecordRows &rows, const StreamRowChanges &changes)
{
    for (const StoredText &row : changes.added) {
        const auto found = rows.find(row.key);
        if (found != rows.end())
            found->second.isStored = true;
    }
    for (const std::string &key : changes.removed)
        rows.erase(key);
}

void forgetStored(StreamRecordRows &rows)
{
    for (auto &[key, row] : rows)
        row.isStored = row.isStored && row.value.empty();
}

bool isCertain(const StreamRecord &record, std::uint64_t rowEpoch, std::uint64_t listEpoch,
               bool hasRunSince)
{
    // A store that has returned from an older copy may list a process that had ended before.
    return record.isConfirmed || (hasRunSince && rowEpoch == listEpoch);
}

} // namespace Tanagerbay::Entry
