// The pieces of a stage as a message between instances.
#pragma once

#include "Entry/PeerMesh.h"
#include "Staging/StageQueue.h"

namespace Tanagerbay::Entry {

// Writes what all pieces of a stage have in common. Times are relative, since clocks differ.
boost::json::object stageToJson(const Staging::PieceRequest &piece, Common::Time now);

// Reads it back; the piece's number is left at zero.
Staging::PieceRequest stageFromJson(const boost::json::object &object, Common::Time now);

} // namespace Tanagerbay::Entry
