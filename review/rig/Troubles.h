// The troubles of a run, under the names of the bench, and the faults that are put in by hand.
#pragma once

#include "Plan.h"

namespace Review {

class Troubles
{
public:
    // The workers read the list too: they inherit the environment.
    static const std::set<std::string> &chosen()
    {
        static const std::set<std::string> names = read();
        return names;
    }

    static bool has(const std::string &name)
    {
        return chosen().count(name) > 0;
    }

    static bool areKnown()
    {
        static const std::set<std::string> known{"srv_crash",     "garble",    "answer_lost",
                                                 "silent",        "node_kill", "node_freeze",
                                                 "platform_down", "stops"};
        return std::includes(known.begin(), known.end(), chosen().begin(), chosen().end());
    }

    static std::string text()
    {
        std::string names;
        for (const std::string &name : chosen())
            names += (names.empty() ? "" : ",") + name;
        return names.empty() ? "none" : names;
    }

    // Share of the answers that a trouble of the workers spoils.
    static double share()
    {
        const std::string percent = variable("SHARE");
        return percent.empty() ? 0.15 : std::atof(percent.c_str()) / 100;
    }

    // Some answers end with their connection, unless the variable says 0.
    static bool hasUnframed()
    {
        return variable("UNFRAMED") != "0";
    }

    // All streams end with their connection if the variable says `all`.
    static bool areAllUnframed()
    {
        return variable("UNFRAMED") == "all";
    }

    // Whether this fault is put in, here and now.
    static bool strikes(const std::string &fault, Random &random)
    {
        static const std::string chosenFault = variable("FAULT");
        return chosenFault == fault && happens(random, 0.05);
    }

private:
    static std::string variable(const char *name)
    {
        const char *value = std::getenv(name);
        return value ? value : "";
    }

    static std::set<std::string> read()
    {
        std::set<std::string> names;
        const bool isDefault = !std::getenv("TROUBLES") && hasTrouble();
        std::istringstream list(isDefault ? "srv_crash,silent" : variable("TROUBLES"));
        for (std::string name; std::getline(list, name, ',');)
            names.insert(name);
        if (std::atoi(variable("STOPS").c_str()) > 0)
            names.insert("stops");
        return names;
    }
};

// What a worker that lives on does to an answer.
struct Spoil
{
    enum class What { Nothing, BreakOff, Junk, Lost };

    What what = What::Nothing;
    bool isReset = false;
    // Between two events, or inside one; a chunk may hold part of an event or be broken itself.
    bool isInside = false;
    bool breaksChunk = false;
    // Where it breaks off, as a share of the answer.
    double at = 0;
    int delayMs = 0;

    static Spoil chosen(Random &random)
    {
        Spoil spoil;
        if (Troubles::has("answer_lost") && happens(random, Troubles::share()))
            spoil.what = What::Lost;
        else if (Troubles::has("garble") && happens(random, Troubles::share()))
            spoil.what = happens(random, 0.2) ? What::Junk : What::BreakOff;
        // The bench's name for an answer that is lost is a reset.
        spoil.isReset = spoil.what == What::Lost || happens(random, 0.5);
        spoil.isInside = happens(random, 0.5);
        spoil.breaksChunk = happens(random, 0.5);
        spoil.at = std::uniform_real_distribution<double>(0, 1)(random);
        spoil.delayMs = happens(random, 0.5) ? 0 : between(random, 1, 30);
        return spoil;
    }

    std::string text() const
    {
        if (this->what == What::Nothing)
            return "whole";
        const std::string end = this->isReset ? "reset" : "orderly";
        if (this->what == What::Lost)
            return "lost," + end;
        if (this->what == What::Junk)
            return "junk," + end;
        return std::string("broken,") + (this->isInside ? "inside," : "between,") + end;
    }
};

} // namespace Review
