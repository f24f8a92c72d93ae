// Counts what the callers have read against what the workers ran, and prints the table of rules.
#pragma once

#include "Callers.h"
#include "Fleet.h"

#include <iomanip>

namespace Review {

class Verdict
{
public:
    Verdict(Fleet &fleet, const Site &site, const std::string &folder)
        : fleet(fleet), site(site), cases(folder + "/cases.txt")
    {
        std::ifstream runs(fleet.runs());
        for (std::string line; std::getline(runs, line);) {
            if (line.rfind("#", 0) == 0) {
                ++this->secondAnswers;
                continue;
            }
            std::istringstream words(line);
            std::string attempt;
            Run run;
            std::string id;
            std::string born;
            words >> attempt >> id >> born >> run.version;
            run.process = id + "/" + born;
            run.line = line;
            this->runs[attempt].push_back(run);
        }
    }

    // Returns the exit code.
    int judge(const std::vector<Outcome> &outcomes)
    {
        for (const Outcome &outcome : outcomes)
            this->judge(outcome);
        for (const auto &[stream, seen] : this->streams) {
            if (seen.versions.size() > 1 && !seen.isMixedInAnswer)
                this->add("ORDER versions over take-ups", stream, seen.kind, "", seen.attempts);
            ++this->streamsOf[seen.kind];
            this->wholeStreamsOf[seen.kind] += seen.isWhole ? 1 : 0;
        }
        this->print();
        const int versions = this->rules["ORDER versions in an answer"]
            + this->rules["ORDER versions over take-ups"];
        const bool isBroken = this->rules["ORDER incomplete"] > 0
            || this->rules["ORDER sequence"] > 0 || versions > kMaxVersionCases
            || this->rules["MIXED"] > 0 || this->rules["TWICE"] > 0;
        if (outcomes.empty() || this->wholeCount == 0)
            return kNotRun;
        return isBroken ? kBroken : kHeld;
    }

private:
    // Two streams of two versions are allowed, as in review/3.
    static constexpr int kMaxVersionCases = 2;

    struct Run
    {
        std::string process;
        std::string version;
        std::string line;
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
        bool isMixedInAnswer = false;
        bool isWhole = false;
    };

    void add(const std::string &rule, const std::string &attempt, const std::string &manner,
             const std::string &text, const std::vector<std::string> &attempts)
    {
        ++this->rules[rule];
        this->cases << rule << ": " << attempt << " " << manner << " " << text << "\n";
        for (const std::string &each : attempts) {
            for (const Run &run : this->runs[each])
                this->cases << "    ran: " << run.line << "\n";
        }
    }

    void judge(const Outcome &outcome)
    {
        const std::vector<Run> &ran = this->runs[outcome.attempt];
        // Passed on to a worker that lived until the caller read the end of its answer.
        const bool isSound
            = !ran.empty() && this->fleet.isSoundUntil(ran.back().process, outcome.endedAt);
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
            this->add(rule, outcome.attempt, outcome.kind->name + " " + outcome.manner, text,
                      {outcome.attempt});
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
            this->cases << "failed, worker sound: " << outcome.attempt << " " << outcome.kind->name
                        << " " << outcome.manner << " status " << outcome.status << ", ran "
                        << ran.back().line << "\n";
        }
        const int status = outcome.result == Result::Refused ? outcome.status : 0;
        if (status == 400)
            report("400 for a sound request", "");
        const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
        if (isPromise && !ran.empty())
            report("PROMISE", std::to_string(status) + " although it ran");
        if (!outcome.mixed.empty())
            report("MIXED", outcome.mixed);
        if (!outcome.lacks.empty())
            report("ORDER incomplete", outcome.lacks);
        if (!outcome.disorder.empty())
            report("ORDER sequence", outcome.disorder);
        if (outcome.versions.size() > 1)
            report("ORDER versions in an answer", "");
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
             {"ORDER incomplete", "ORDER sequence", "ORDER versions in an answer",
              "ORDER versions over take-ups", "MIXED", "TWICE", "LOST", "LOST on a new connection",
              "PROMISE", "400 for a sound request", "half-closed without an answer"})
            std::cout << std::left << std::setw(33) << rule << std::right << std::setw(10)
                      << this->rules[rule] << "\n";
        for (const auto &[manner, numbers] : this->manners)
            std::cout << manner << ": " << numbers.first << ", whole " << numbers.second << "\n";
        std::cout << "second answers: " << this->secondAnswers
                  << ", workers killed: " << this->fleet.killCount() << "\n";
    }

    Fleet &fleet;
    const Site &site;
    std::ofstream cases;
    std::map<std::string, std::vector<Run>> runs;
    std::map<std::string, Counts> counts;
    std::map<std::string, Stream> streams;
    std::map<std::string, int> streamsOf;
    std::map<std::string, int> wholeStreamsOf;
    std::map<std::string, int> rules;
    // Requests sent and answered whole, by manner of the caller.
    std::map<std::string, std::pair<int, int>> manners;
    int wholeCount = 0;
    int secondAnswers = 0;
};

} // namespace Review
