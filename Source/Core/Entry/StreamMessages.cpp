#include "Entry/StreamMessages.h"

#include <algorithm>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// What instances of earlier releases read as a version that no endpoint has.
constexpr std::string_view kUnlistedVersion = "(not listed)";
// Longest period in a message; a history without a beginning has this age.
constexpr Common::Milliseconds kMaxPeriod{24LL * 3600 * 1000};

// Positions of the values of a message; the ones from `Service` on are those of an origin.
enum StreamField : std::size_t {
    Kind,
    Number,
    Attempt,
    LeftMs,
    FindFieldCount,
    Service = FindFieldCount,
    Version,
    Endpoint,
    Incarnation,
    SentAgeMs,
    OriginFieldCount,
    // Instances of earlier releases do not send the fields from here on.
    IsStated = OriginFieldCount,
    IsVersionKnown,
    VersionFieldCount,
    // Null if the end of the stream is not doubted.
    DoubtedEnd = VersionFieldCount,
    DoubtedEndpoint,
    LastBegunEvent,
    EvidenceFieldCount,
    ConnectedAgeMs = EvidenceFieldCount,
    ConnectedFieldCount,
    // What the list named when the stream was sent, of an origin that is not confirmed. Instances
    // of earlier releases take it for confirmed if it stands in the fields above.
    ListedIncarnation = ConnectedFieldCount,
    ListedVersion,
    ListedFieldCount,
    IsContradicted = ListedFieldCount,
    ContradictedFieldCount,
    IsPresumed = ContradictedFieldCount,
    AllFieldCount
};

// Whether the process that began the stream is not certain.
bool isUnconfirmed(const Serving::StreamOrigin &origin)
{
    return !origin.isStated && !origin.isVersionKnown;
}

std::optional<std::uint64_t> unsignedOf(const json::value &value)
{
    if (value.is_uint64())
        return value.get_uint64();
    if (value.is_int64() && value.get_int64() >= 0)
        return static_cast<std::uint64_t>(value.get_int64());
    return std::nullopt;
}

std::optional<Common::Milliseconds> millisecondsOf(const json::value &value)
{
    const auto number = unsignedOf(value);
    if (!number)
        return std::nullopt;
    const auto maxNumber = static_cast<std::uint64_t>(kMaxPeriod.count());
    return Common::Milliseconds(std::min(*number, maxNumber));
}

std::optional<std::string> textOf(const json::value &value)
{
    if (!value.is_string())
        return std::nullopt;
    return std::string(value.get_string());
}

std::int64_t ageMs(Common::Time then, Common::Time now)
{
    return std::max<std::int64_t>(Common::toMilliseconds(now - then), 0);
}

bool readOrigin(const json::array &fields, Serving::StreamOrigin &origin, Common::Time now)
{
    if (fields.size() < OriginFieldCount)
        return false;
    const auto service = textOf(fields[Service]);
    const auto version = textOf(fields[Version]);
    const auto endpoint = textOf(fields[Endpoint]);
    const auto incarnation = unsignedOf(fields[Incarnation]);
    const auto age = millisecondsOf(fields[SentAgeMs]);
    if (!service || !version || !endpoint || !incarnation || !age)
        return false;
    origin.service = *service;
    origin.version = *version;
    origin.endpoint = Common::EndpointId(*endpoint);
    origin.incarnation = *incarnation;
    origin.sentAt = now - *age;
    if (fields.size() >= VersionFieldCount) {
        origin.isStated = fields[IsStated].is_bool() && fields[IsStated].get_bool();
        origin.isVersionKnown
            = fields[IsVersionKnown].is_bool() && fields[IsVersionKnown].get_bool();
        if (!origin.isVersionKnown)
            origin.version.clear();
    }
    if (fields.size() >= EvidenceFieldCount) {
        origin.doubtedEnd = unsignedOf(fields[DoubtedEnd]);
        origin.doubtedEndpoint = Common::EndpointId(textOf(fields[DoubtedEndpoint]).value_or(""));
        origin.lastBegunEvent = unsignedOf(fields[LastBegunEvent]).value_or(0);
    }
    const auto connectedAge = fields.size() >= ConnectedFieldCount
        ? millisecondsOf(fields[ConnectedAgeMs])
        : std::nullopt;
    origin.connectedBy = now - connectedAge.value_or(Common::Milliseconds(0));
    // An instance of an earlier release takes what the list names for certain.
    if (!connectedAge && !origin.isStated)
        origin.isVersionKnown = false;
    if (fields.size() >= ListedFieldCount && isUnconfirmed(origin)) {
        origin.incarnation = unsignedOf(fields[ListedIncarnation]).value_or(0);
        origin.version = textOf(fields[ListedVersion]).value_or("");
    }
    origin.isContradicted = fields.size() >= ContradictedFieldCount
        && fields[IsContradicted].is_bool() && fields[IsContradicted].get_bool();
    origin.isPresumed = fields.size() >= AllFieldCount && fields[IsPresumed].is_bool()
        && fields[IsPresumed].get_bool();
    return true;
}

} // namespace

json::array toJson(const StreamMessage &message, Common::Time now)
{
    const Serving::StreamOrigin &origin = message.origin;
    // Positive, so that the receiver keeps the entry although some time has passed.
    json::array fields{Common::nameOf(message.kind), message.number, message.attempt,
                       ageMs(now, origin.expiresAt)};
    if (message.kind == StreamMessageKind::Began || message.kind == StreamMessageKind::Found) {
        fields.emplace_back(origin.service);
        fields.emplace_back(origin.isVersionKnown ? std::string_view(origin.version)
                                                  : kUnlistedVersion);
        fields.emplace_back(origin.endpoint.value);
        fields.emplace_back(isUnconfirmed(origin) ? 0 : origin.incarnation);
        fields.emplace_back(ageMs(origin.sentAt, now));
        fields.emplace_back(origin.isStated);
        fields.emplace_back(origin.isVersionKnown);
        if (origin.doubtedEnd)
            fields.emplace_back(*origin.doubtedEnd);
        else
            fields.emplace_back(nullptr);
        fields.emplace_back(origin.doubtedEndpoint.value);
        fields.emplace_back(origin.lastBegunEvent);
        fields.emplace_back(ageMs(origin.connectedBy, now));
        if (isUnconfirmed(origin)) {
            fields.emplace_back(origin.incarnation);
            fields.emplace_back(origin.version);
        }
        // Such an origin names no process, so that the fields above are there.
        if (origin.isContradicted || origin.isPresumed)
            fields.emplace_back(origin.isContradicted);
        if (origin.isPresumed)
            fields.emplace_back(true);
    }
    return fields;
}

std::optional<StreamMessage> readStreamMessage(const json::value &value, Common::Time now)
{
    if (!value.is_array() || value.get_array().size() < FindFieldCount)
        return std::nullopt;
    const json::array &fields = value.get_array();
    const auto name = textOf(fields[Kind]);
    if (!name)
        return std::nullopt;
    const auto kind = Common::valueNamed<StreamMessageKind>(*name);
    const auto number = unsignedOf(fields[Number]);
    const auto attempt = textOf(fields[Attempt]);
    const auto left = millisecondsOf(fields[LeftMs]);
    if (!kind || !number || !attempt || attempt->empty() || !left)
        return std::nullopt;
    StreamMessage message{*kind, *number, *attempt, {}};
    message.origin.expiresAt = now + *left;
    const bool hasOrigin = *kind == StreamMessageKind::Began || *kind == StreamMessageKind::Found;
    if (hasOrigin && !readOrigin(fields, message.origin, now))
        return std::nullopt;
    return message;
}

json::object toJson(const Routing::VersionHistory &history, Common::Time now)
{
    json::object services;
    for (const auto &[service, versions] : history.byService) {
        json::array list;
        for (const auto &[version, at] : versions)
            list.push_back(json::array{version, ageMs(at, now)});
        services[service] = std::move(list);
    }
    const bool hasBeginning = history.completeSince > now - kMaxPeriod;
    return {{"completeMs", hasBeginning ? ageMs(history.completeSince, now) : kMaxPeriod.count()},
            {"services", std::move(services)}};
}

Routing::VersionHistory readVersionHistory(const json::value &value, Common::Time now)
{
    Routing::VersionHistory history{{}, now};
    const json::object *object = value.if_object();
    const json::value *complete = object ? object->if_contains("completeMs") : nullptr;
    const json::value *services = object ? object->if_contains("services") : nullptr;
    const auto completeAge = complete ? millisecondsOf(*complete) : std::nullopt;
    if (!completeAge || !services || !services->is_object())
        return history;
    history.completeSince = *completeAge < kMaxPeriod ? now - *completeAge : Common::Time::min();
    for (const auto &member : services->get_object()) {
        const json::array *list = member.value().if_array();
        for (std::size_t i = 0; list && i < list->size(); ++i) {
            const json::array *entry = (*list)[i].if_array();
            if (!entry || entry->size() < 2)
                continue;
            const auto version = textOf((*entry)[0]);
            const auto age = millisecondsOf((*entry)[1]);
            // Instances of earlier releases take a process that is not listed for a version.
            if (version && age && !Routing::unlistedProcess(*version))
                history.byService[std::string(member.key())][*version] = now - *age;
        }
    }
    return history;
}

} // namespace Tanagerbay::Entry
