// Counts what the callers have read against what the workers ran, and prints the table of rules.
#pragma once

#include "EntryTroubles.h"
#include "Fleet.h"
#include "Runs.h"

#include <iomanip>

namespace Review {

class Verdict
{
public:
    Verdict(Fleet &fleet, EntryTroubles &entryTroubles, const Site &site,
            const Deployment &deployment)
        : fleet(fleet), entryTroubles(entryTroubles), site(site), folder(deployment.folder),
          out(folder + "/cases.txt"), runs(fleet.runs(), site)
    {
    }

    // Returns the exit code.
    int judge(const std::vector<Outcome> &outcomes)
    {
        for (const Outcome &outcome : outcomes)
            this->judge(outcome);
        for (const auto &[stream, seen] : this->streams) {
            if (seen.versions.size() > 1 && !seen.isMixedInAnswer)
                this->add("ORDER versions over take-ups", {stream, stream, seen.kind, "", {}});
            ++this->streamsOf[seen.kind];
            this->wholeStreamsOf[seen.kind] += seen.isWhole ? 1 : 0;
        }
        this->print();
        this->explain();
        const int versions = this->rules["ORDER versions in an answer"]
            + this->rules["ORDER versions over take-ups"];
        bool isBroken = versions > kMaxVersionCases;
        for (const char *rule : {"ORDER incomplete", "ORDER incomplete, unframed end",
                                 "ORDER sequence", "ORDER two runs", "MIXED", "TWICE"})
            isBroken = isBroken || this->rules[rule] > 0;
        if (outcomes.empty() || this->wholeCount == 0)
            return kNotRun;
        return isBroken ? kBroken : kHeld;
    }

private:
    // Two streams of two versions are allowed, as in review/3.
    static constexpr int kMaxVersionCases = 2;
    static constexpr int kMostPrinted = 3;

    struct Case
    {
        std::string attempt;
        // Empty for a plain request.
        std::string stream;
        std::string manner;
        std::string text;
        std::vector<Piece> pieces;
        std::string rule = {};
    };

    struct Counts
    {
        int sent = 0;
        int whole = 0;
        int broken = 0;
        int cut = 0;
        int cutSound = 0;
        int refused = 0;
        int refusedSound = 0;
        int noAnswer = 0;
        int noAnswerSound = 0;
        int timedOut = 0;
        int left = 0;
        std::map<int, int> statuses;
    };

    struct Stream
    {
        std::string kind;
        std::set<std::string> versions;
        std::vector<std::string> attempts;
        // The run of the last event so far.
        std::string lastRun;
        bool isMixedInAnswer = false;
        bool isWhole = false;
    };

    void add(const std::string &rule, Case seen)
    {
        ++this->rules[rule];
        seen.rule = rule;
        this->cases.push_back(std::move(seen));
    }

    // Writes each case with the runs that its events came from, how their workers ended the
    // connection, and our log lines of its requests.
    void explain()
    {
        std::set<std::string> attempts;
        for (const Case &each : this->cases) {
            for (const std::string &attempt : this->attemptsOf(each))
                attempts.insert(attempt);
        }
        const auto lines = logLinesOf(attempts, this->folder);
        int printed = 0;
        for (const Case &each : this->cases) {
            std::ostringstream text;
            text << each.rule << ": " << each.attempt << " " << each.manner << " " << each.text
                 << "\n";
            for (const Piece &piece : each.pieces)
                text << "    events " << piece.first << " to " << piece.last << " of run "
                     << piece.run << "\n";
            for (const std::string &attempt : this->attemptsOf(each)) {
                for (const RunSeen &run : this->runs.of(attempt))
                    text << "    ran: " << run.text() << "\n";
                const auto found = lines.find(attempt);
                if (found != lines.end())
                    text << found->second;
            }
            this->out << text.str();
            // The first ones of ORDER are printed too, the rest is in the file.
            if (each.rule.rfind("ORDER", 0) == 0 && ++printed <= kMostPrinted)
                std::cout << text.str();
        }
    }

    std::vector<std::string> attemptsOf(const Case &seen)
    {
        const auto stream = this->streams.find(seen.stream);
        return stream == this->streams.end() ? std::vector<std::string>{seen.attempt}
                                             : stream->second.attempts;
    }

    // The run whose end the caller saw as the end of its answer.
    const RunSeen *lastRunOf(const Outcome &outcome)
    {
        // The last run may have ended before its first event.
        const std::vector<RunSeen> &ran = this->runs.of(outcome.attempt);
        if (!ran.empty())
            return &ran.back();
        return outcome.pieces.empty() ? nullptr : this->runs.named(outcome.pieces.back().run);
    }

    // Says which piece doesn't follow from the run before it; empty if all do.
    std::string joinedRuns(const Outcome &outcome, const std::string &runBefore)
    {
        if (!outcome.kind->mayRunAgain && outcome.pieces.size() > 1)
            return std::to_string(outcome.pieces.size()) + " pieces, may not be resumed";
        std::string before = runBefore;
        for (const Piece &piece : outcome.pieces) {
            const RunSeen *run = this->runs.named(piece.run);
            if (!run)
                return "no run is named " + piece.run;
            if (piece.run != before && run->first != piece.first)
                return "event " + std::to_string(piece.first) + " comes from " + piece.run
                    + ", which began at " + std::to_string(run->first);
            before = piece.run;
        }
        return "";
    }

    void judgeOrder(const Outcome &outcome,
                    const std::function<void(const std::string &, const std::string &)> &report)
    {
        const RunSeen *last = this->lastRunOf(outcome);
        const bool looksWhole = last && last->looksWhole();
        // The worker lives, and only a reset would have told that something is missing.
        if (!outcome.mixed.empty()) {
            report(looksWhole && outcome.isCutShort ? "MIXED that cannot be told" : "MIXED",
                   outcome.mixed);
        }
        if (!outcome.lacks.empty()) {
            report(looksWhole ? "ORDER incomplete, unframed end" : "ORDER incomplete",
                   outcome.lacks);
        }
        if (!outcome.disorder.empty())
            report("ORDER sequence", outcome.disorder);
        if (outcome.versions.size() > 1)
            report("ORDER versions in an answer", "");
        if (!outcome.kind->isStream)
            return;
        Stream &stream = this->streams[outcome.stream];
        const std::string joined = this->joinedRuns(outcome, stream.lastRun);
        if (!joined.empty())
            report("ORDER two runs", joined);
        if (!outcome.pieces.empty())
            stream.lastRun = outcome.pieces.back().run;
        this->joinedCount += outcome.pieces.size() > 1 ? 1 : 0;
    }

    void judge(const Outcome &outcome)
    {
        const std::vector<RunSeen> &ran = this->runs.of(outcome.attempt);
        // Passed on to a worker that lived until the caller read the end of its answer and spoiled
        // nothing, by a process that ran on.
        const bool isSound = !ran.empty() && !ran.back().isSpoiled()
            && this->fleet.isSoundUntil(ran.back().process, outcome.endedAt)
            && this->entryTroubles.isCalm(outcome.entry, outcome.begunAt, outcome.endedAt);
        const bool isBroken
            = !outcome.mixed.empty() || !outcome.lacks.empty() || !outcome.disorder.empty();
        const bool isWhole = outcome.result == Result::Whole && !isBroken;
        Counts &counts = this->counts[outcome.kind->name];
        ++counts.sent;
        std::istringstream manners(outcome.manner);
        for (std::string manner; std::getline(manners, manner, ',');) {
            ++this->manners[manner].first;
            this->manners[manner].second += isWhole ? 1 : 0;
        }
        const auto report = [&](const std::string &rule, const std::string &text) {
            this->add(rule,
                      {outcome.attempt, outcome.stream, outcome.kind->name + " " + outcome.manner,
                       text, outcome.pieces});
        };
        switch (outcome.result) {
        case Result::Whole:
            // An answer that only looks whole counts as a case of its rule.
            ++(isWhole ? counts.whole : counts.broken);
            this->wholeCount += isWhole ? 1 : 0;
            break;
        case Result::Cut:
            ++counts.cut;
            counts.cutSound += isSound ? 1 : 0;
            break;
        case Result::Refused:
            ++counts.refused;
            counts.refusedSound += isSound ? 1 : 0;
            ++counts.statuses[outcome.status];
            break;
        case Result::NoAnswer:
            ++counts.noAnswer;
            counts.noAnswerSound += isSound ? 1 : 0;
            break;
        case Result::TimedOut:
            ++counts.timedOut;
            break;
        case Result::Left:
            ++counts.left;
            break;
        }
        if (outcome.result == Result::NoAnswer && outcome.isHalfClosed)
            report("half-closed without an answer", "");
        else if (outcome.result == Result::NoAnswer && isSound)
            report(outcome.isKept ? "LOST" : "LOST on a new connection", "no answer");
        if (isSound && (outcome.result == Result::Cut || outcome.result == Result::Refused)) {
            this->out << "failed, worker sound: " << outcome.attempt << " " << outcome.kind->name
                      << " " << outcome.manner << " status " << outcome.status << ", ran "
                      << ran.back().text() << "\n";
        }
        const int status = outcome.result == Result::Refused ? outcome.status : 0;
        if (status == 400)
            report("400 for a sound request", "");
        const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
        if (isPromise && !ran.empty())
            report("PROMISE", std::to_string(status) + " although it ran");
        this->judgeOrder(outcome, report);
        if (!outcome.kind->mayRunAgain && ran.size() > 1)
            report("TWICE", "ran " + std::to_string(ran.size()) + " times");
        if (!outcome.kind->isStream)
            return;
        Stream &stream = this->streams[outcome.stream];
        stream.kind = outcome.kind->name;
        stream.attempts.push_back(outcome.attempt);
        stream.versions.insert(outcome.versions.begin(), outcome.versions.end());
        stream.isMixedInAnswer = stream.isMixedInAnswer || outcome.versions.size() > 1;
        stream.isWhole = stream.isWhole || isWhole;
    }

    void print()
    {
        std::cout << std::left << std::setw(18) << "kind" << std::setw(15) << "" << std::right;
        for (const char *column : {"sent", "whole", "broken", "cut", "(sound)", "refused",
                                   "(sound)", "no answer", "(sound)", "timed out", "left"})
            std::cout << std::setw(10) << column;
        std::cout << "\n";
        for (const Kind &kind : this->site.kinds) {
            const Counts &counts = this->counts[kind.name];
            std::cout << std::left << std::setw(18) << kind.name << std::setw(15) << kind.kindName()
                      << std::right;
            for (const int number :
                 {counts.sent, counts.whole, counts.broken, counts.cut, counts.cutSound,
                  counts.refused, counts.refusedSound, counts.noAnswer, counts.noAnswerSound,
                  counts.timedOut, counts.left})
                std::cout << std::setw(10) << number;
            for (const auto &[status, count] : counts.statuses)
                std::cout << "  " << status << ": " << count;
            if (kind.isStream)
                std::cout << "  (" << this->wholeStreamsOf[kind.name] << " of "
                          << this->streamsOf[kind.name] << " streams whole)";
            std::cout << "\n";
        }
        for (const char *rule :
             {"ORDER incomplete", "ORDER incomplete, unframed end", "ORDER sequence",
              "ORDER two runs", "ORDER versions in an answer",
              "ORDER versions over take-ups", "MIXED", "MIXED that cannot be told", "TWICE", "LOST",
              "LOST on a new connection", "PROMISE", "400 for a sound request",
              "half-closed without an answer"})
            std::cout << std::left << std::setw(33) << rule << std::right << std::setw(10)
                      << this->rules[rule] << "\n";
        for (const auto &[manner, numbers] : this->manners)
            std::cout << manner << ": " << numbers.first << ", whole " << numbers.second << "\n";
        for (const auto &[ending, number] : this->runs.spoiled)
            std::cout << "spoiled, " << ending << ": " << number << "\n";
        std::cout << "answers of several runs: " << this->joinedCount
                  << ", second answers: " << this->runs.secondAnswers
                  << ", workers killed: " << this->fleet.killCount() << "\n";
    }

    Fleet &fleet;
    EntryTroubles &entryTroubles;
    const Site &site;
    const std::string folder;
    std::ofstream out;
    RunsSeen runs;
    std::vector<Case> cases;
    std::map<std::string, Counts> counts;
    std::map<std::string, Stream> streams;
    std::map<std::string, int> streamsOf;
    std::map<std::string, int> wholeStreamsOf;
    std::map<std::string, int> rules;
    // Requests sent and answered whole, by manner of the caller.
    std::map<std::string, std::pair<int, int>> manners;
    int wholeCount = 0;
    int joinedCount = 0;
};

} // namespace Review
