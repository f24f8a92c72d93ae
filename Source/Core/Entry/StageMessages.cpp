#include "Entry/StageMessages.h"

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

std::int64_t millisecondsFrom(Common::Time now, Common::Time at)
{
    return Common::toMilliseconds(at - now);
}

std::int64_t signedOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_int64() ? value->get_int64() : 0;
}

} // namespace

json::object stageToJson(const Staging::PieceRequest &piece, Common::Time now)
{
    json::object object;
    object["id"] = piece.requestId;
    object["stage"] = piece.stage;
    if (piece.inputs)
        object["inputs"] = json::array(piece.inputs->begin(), piece.inputs->end());
    else
        object["key"] = piece.key;
    object["bytes"] = piece.resultBytes;
    if (!piece.nearTo.empty())
        object["nearTo"] = piece.nearTo.value;
    object["transfer"] = piece.transferBytes;
    object["priority"] = piece.priority;
    object["moves"] = piece.handOverCount;
    object["startByMs"] = millisecondsFrom(now, piece.startBy);
    object["expiresMs"] = millisecondsFrom(now, piece.expiresAt);
    if (piece.lastStartBy)
        object["lastStartMs"] = millisecondsFrom(now, *piece.lastStartBy);
    return object;
}

Staging::PieceRequest stageFromJson(const json::object &object, Common::Time now)
{
    Staging::PieceRequest piece;
    piece.requestId = textOf(object, "id");
    piece.stage = static_cast<std::uint32_t>(numberOf(object, "stage"));
    piece.key = textOf(object, "key");
    if (const json::array *inputs = arrayOf(object, "inputs")) {
        piece.inputs.emplace();
        for (const json::value &input : *inputs)
            piece.inputs->push_back(input.is_string() ? std::string(input.get_string()) : "");
    }
    piece.resultBytes = numberOf(object, "bytes");
    piece.nearTo = Common::FailureDomain(textOf(object, "nearTo"));
    piece.transferBytes = numberOf(object, "transfer");
    piece.priority = static_cast<int>(signedOf(object, "priority"));
    piece.handOverCount = static_cast<std::uint32_t>(numberOf(object, "moves"));
    piece.startBy = now + Common::Milliseconds(signedOf(object, "startByMs"));
    piece.expiresAt = now + Common::Milliseconds(signedOf(object, "expiresMs"));
    if (object.contains("lastStartMs"))
        piece.lastStartBy = now + Common::Milliseconds(signedOf(object, "lastStartMs"));
    return piece;
}

} // namespace Tanagerbay::Entry
