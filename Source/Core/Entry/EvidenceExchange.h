// Passes evidence about crashes on to the other instances, attached to their probes.
#pragma once

#include "Membership/News.h"
#include "Quarantine/CrashEvidence.h"

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

struct EvidenceExchange
{
    // A report of a crash is divided, so that a datagram stays small: by process and number.
    Membership::News<std::pair<Quarantine::Process, std::size_t>, Quarantine::Crash> crashes;
    Membership::News<Quarantine::Trait, Quarantine::Acquittal> acquittals;
    std::size_t lastNumber = 0;
};

// Adds news that the next messages carry.
void publish(EvidenceExchange &exchange, const Quarantine::News &news);

// Attaches evidence to a message. Returns whether there was any. Each item is attached to `repeats`
// messages.
bool attach(EvidenceExchange &exchange, boost::json::object &message, std::uint32_t repeats,
            Common::Time now);

// Attaches all evidence, for an instance that has just started.
void attachAll(const Quarantine::News &all, boost::json::object &message, Common::Time now);

// Reads the evidence of a message. Entries that cannot be read are left out.
Quarantine::News readEvidence(const boost::json::object &message, Common::Time now);

} // namespace Tanagerbay::Entry
