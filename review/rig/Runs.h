// What the workers ran, and the lines that the program logged about a request.
#pragma once

#include "Troubles.h"

#include <filesystem>

namespace Review {

struct RunSeen
{
    std::string attempt;
    // The worker's id, its start time and the number of the run.
    std::string name;
    std::string process;
    std::string version;
    std::string kind;
    std::string framing;
    int first = 0;
    // How the worker ended the connection; empty if it was killed before.
    std::string ending;
    int last = 0;

    bool isSpoiled() const
    {
        return !this->ending.empty() && this->ending != "whole" && this->ending != "caller-gone";
    }

    // Nobody can tell such an end from that of a whole answer.
    bool looksWhole() const
    {
        return this->framing == "unframed" && this->ending.rfind("broken,", 0) == 0
            && this->ending.ends_with(",orderly")
            && (this->kind == "plain" || this->ending == "broken,between,orderly");
    }

    std::string text() const
    {
        return this->attempt + " run " + this->name + " version " + this->version + " "
            + this->framing + " from " + std::to_string(this->first) + ", "
            + (this->ending.empty() ? "no end written (killed, or still at work)"
                                    : this->ending + " after " + std::to_string(this->last));
    }
};

// Reads the file of runs.
class RunsSeen
{
public:
    RunsSeen(const std::string &path, const Site &site)
    {
        std::map<std::string, std::pair<std::string, std::string>> endings;
        std::ifstream file(path);
        std::vector<RunSeen> all;
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            std::string word;
            words >> word;
            if (word == "#") {
                ++this->secondAnswers;
            } else if (word == "!") {
                std::string name;
                words >> name >> endings[name].first >> endings[name].second;
            } else {
                RunSeen run;
                run.attempt = word;
                std::string id;
                std::string born;
                words >> id >> born >> run.version >> run.kind >> run.first >> run.name
                    >> run.framing;
                run.process = id + "/" + born;
                if (!site.kindOf("/" + run.kind + "/").isStream)
                    run.kind = "plain";
                all.push_back(run);
            }
        }
        for (RunSeen &run : all) {
            const auto ending = endings.find(run.name);
            if (ending != endings.end()) {
                run.ending = ending->second.first;
                run.last = std::atoi(ending->second.second.c_str());
            }
            if (run.isSpoiled())
                ++this->spoiled[run.framing + " " + run.ending];
            this->attemptOf[run.name] = run.attempt;
            this->ofAttempt[run.attempt].push_back(run);
        }
    }

    // All runs of a request, in the order of their beginning.
    const std::vector<RunSeen> &of(const std::string &attempt)
    {
        return this->ofAttempt[attempt];
    }

    const RunSeen *named(const std::string &name)
    {
        const auto attempt = this->attemptOf.find(name);
        if (attempt == this->attemptOf.end())
            return nullptr;
        for (const RunSeen &run : this->ofAttempt[attempt->second]) {
            if (run.name == name)
                return &run;
        }
        return nullptr;
    }

    int secondAnswers = 0;
    // Runs that a worker spoiled, by framing and end.
    std::map<std::string, int> spoiled;

private:
    std::map<std::string, std::vector<RunSeen>> ofAttempt;
    std::map<std::string, std::string> attemptOf;
};

// Finds the lines of these requests in the logs of a folder.
inline std::map<std::string, std::string> logLinesOf(const std::set<std::string> &attempts,
                                                     const std::string &folder)
{
    std::map<std::string, std::string> lines;
    if (attempts.empty())
        return lines;
    // All ids of a run begin with its process.
    const std::string prefix = attempts.begin()->substr(0, 8);
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".log")
            continue;
        std::ifstream log(file.path());
        for (std::string line; std::getline(log, line);) {
            for (std::size_t at = line.find(prefix); at != std::string::npos;
                 at = line.find(prefix, at + 8)) {
                const std::string attempt = line.substr(at, 16);
                if (attempts.count(attempt) > 0) {
                    lines[attempt] += "    " + file.path().stem().string() + ": "
                        + line.substr(0, 1500) + "\n";
                    break;
                }
            }
        }
    }
    return lines;
}

} // namespace Review
