// Failure detection by probes, whose cost and delay do not grow with the number of instances.
//
// Each period an instance probes one other. Without an answer it asks some others to probe it too,
// and without an answer to these it suspects it. Suspicions, their refutations and other changes
// are passed on with the probes and their answers. This follows SWIM (Das, Gupta and Motivala,
// 2002); an instance that is itself slow waits longer before it suspects others, as in Lifeguard
// (Dadgar, Phillips and Currey, 2018). The functions do no I/O.
#pragma once

#include "Membership/Members.h"
#include "Membership/News.h"

#include <set>

namespace Tanagerbay::Membership {

struct DetectorSettings
{
    Common::Milliseconds period{200};
    // Time for an answer to the direct probe; several round trips between failure domains.
    Common::Milliseconds directTimeout{90};
    // Number of other instances that probe on this one's behalf.
    std::size_t indirectProbes = 3;
    // A suspected instance counts as failed if it does not refute the suspicion within this time.
    Common::Milliseconds suspicionPeriod{2000};
    // A failed instance is forgotten after this time.
    Common::Milliseconds failedMemory{60'000};
};

enum class ProbeKind {
    Probe,
    // Asks the receiver to probe another instance.
    Request,
    Answer,
};

} // namespace Tanagerbay::Membership

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Membership::ProbeKind>
{
    using Kind = Membership::ProbeKind;
    static constexpr NameTable<Kind, 3> table = {{
        {Kind::Probe, "probe"},
        {Kind::Request, "request"},
        {Kind::Answer, "answer"},
    }};
};

namespace Tanagerbay::Membership {

// A message to send. Reports are attached when it is sent.
struct ProbeMessage
{
    ProbeKind kind = ProbeKind::Probe;
    Common::Address to;
    std::uint64_t number = 0;
    // Set for a request: the instance to probe.
    Common::Address subject;
};

// What an instance says about another one, or about itself.
struct MemberNews
{
    MemberReport report;
    Condition condition = Condition::Alive;
};

struct Detector
{
    struct Probe
    {
        Common::InstanceId target;
        std::uint64_t number = 0;
        Common::Time sentAt;
        bool isIndirect = false;
        bool isAnswered = false;
    };
    // A probe made on another instance's behalf.
    struct Relay
    {
        Common::Address requester;
        std::uint64_t requesterNumber = 0;
        Common::Time sentAt;
    };

    DetectorSettings settings;
    // Instances in the order in which they are probed, shuffled after each pass.
    std::vector<Common::InstanceId> order;
    std::size_t nextInOrder = 0;
    std::optional<Probe> probe;
    std::map<std::uint64_t, Relay> relays;
    std::uint64_t lastNumber = 0;
    // Grows while this instance's probes fail or it runs late; multiplies its time-outs.
    std::uint32_t delayScore = 0;
    // Probes answered in a row; several of them lower `delayScore`.
    std::uint32_t answersInARow = 0;
    std::optional<Common::Time> lastTickAt;
    // Many instances have failed at once: this one may be cut off from them.
    bool seesManyFailed = false;
    // Instances that were forgotten as failed. The platform's list may still name them.
    std::set<Common::InstanceId> forgotten;
    News<Common::InstanceId, MemberNews> news;
};

// Makes the probes that are due. To be called at the times that `nextTickAt` returns.
std::vector<ProbeMessage> tick(Detector &detector, Members &members, Common::Time now,
                               std::mt19937_64 &random);

Common::Time nextTickAt(const Detector &detector, Common::Time now);

// Returns true once for each time that a large part of the fleet has failed. This instance then
// raises its sequence: where it was only cut off, the others take it for failed at the old one, so
// that any message of it, or about it, shows them that it is alive.
bool shouldRaiseSequence(Detector &detector, const Members &members);

// Returns a living instance to be asked for all that it knows, while many have failed: their return
// is more news than the probes carry in time.
std::optional<Common::Address> peerToAsk(const Detector &detector, const Members &members,
                                         std::mt19937_64 &random);

// Starts a probe of one instance at once, ahead of its turn. Returns nothing if a probe is in
// progress.
std::vector<ProbeMessage> probeNow(Detector &detector, const Members &members,
                                   const Common::InstanceId &target, Common::Time now);

// Processes a probe message that came from `from`. Returns the messages that follow from it.
std::vector<ProbeMessage> onProbeMessage(Detector &detector, const ProbeMessage &message,
                                         const Common::Address &from, Common::Time now);

enum class NewsEffect {
    None,
    // The news changed what is known about another instance.
    Changed,
    // An instance that had failed is alive.
    Returned,
    // This instance is suspected: it has to raise its own sequence above the reported one.
    AboutSelf,
};

// Applies news that came with a message, and passes them on.
NewsEffect applyNews(Detector &detector, Members &members, const MemberNews &news,
                     Common::Time now);

// Applies what another instance knows about all. Nothing of it is passed on: whoever missed as much
// asks for all, too.
void applyAllNews(Detector &detector, Members &members, const std::vector<MemberNews> &all,
                  Common::Time now);

// Whether a doubt about this instance refers to its current report, so that it has to raise its
// sequence to refute it. A doubt about an earlier report shows that the current one is not known
// everywhere, so that it has to be passed on again.
bool isDoubtCurrent(const MemberReport &own, const MemberReport &doubted);

// Passes on this instance's own report, after a change of its state.
void publishSelf(Detector &detector, const MemberReport &report);

// Adds the instances of a newly read list that are not known. One that was forgotten as failed is
// not believed to be alive until it is heard: whoever ends while the store is away stays listed.
void noteListed(Detector &detector, Members &members, const std::vector<MemberReport> &listed,
                Common::Time now);

// Records which start an instance states in a message of its own.
void noteStatedStart(Members &members, const MemberReport &own);

// Returns what is known about the instance with this address if that has to reach it: it is not
// believed to be alive and can refute that, or it states an earlier start than is known of it.
std::optional<MemberNews> newsForSubject(const Members &members, const Common::Address &peer);

// Returns all that is known, for an instance that has just started.
std::vector<MemberNews> allNews(const Members &members);

} // namespace Tanagerbay::Membership
