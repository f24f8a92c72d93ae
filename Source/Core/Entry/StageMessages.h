// Converts the pieces of a stage to and from messages between instances.
#pragma once

#include "Entry/PeerMesh.h"
#include "Staging/StageQueue.h"

namespace Tanagerbay::Entry {

// Writes the properties that all pieces of a stage share. Times are relative to `now`, since the
// clocks of instances differ.
boost::json::object stageToJson(const Staging::PieceRequest &piece, Common::Time now);

// Reads the properties written by `stageToJson`. The piece's number is left at zero.
Staging::PieceRequest stageFromJson(const boost::json::object &object, Common::Time now);

} // namespace Tanagerbay::Entry
