// Faults that are put in by hand into what a caller has read, as if the program had made them.
#pragma once

#include "Troubles.h"

namespace Review {

class Faults
{
public:
    static void putInto(Response &response, Random &random, bool mayRunAgain)
    {
        if (response.status != 200 || !response.isComplete)
            return;
        if (Troubles::strikes("body", random) && response.body.size() > 1)
            response.body[response.body.size() / 2] ^= 1;
        if (Troubles::strikes("tail", random))
            response.body.resize(response.body.size() / 2);
        if (Troubles::strikes("promise", random))
            response.status = 503;
        if (Troubles::strikes("lost", random) && !mayRunAgain)
            response = {};
    }

    static void putIntoStream(Response &response, Random &random)
    {
        if (response.status != 200 || !response.isComplete)
            return;
        std::vector<std::string> events;
        std::size_t at = 0;
        for (std::size_t end = 0; (end = response.body.find("\n\n", at)) != std::string::npos;
             at = end + 2)
            events.push_back(response.body.substr(at, end + 2 - at));
        if (events.size() < 3)
            return;
        const auto middle = events.begin() + static_cast<long>(events.size() / 2);
        if (Troubles::strikes("skip", random))
            events.erase(middle);
        else if (Troubles::strikes("repeat", random))
            events.insert(middle, *middle);
        else if (Troubles::strikes("head", random))
            events.erase(events.begin());
        else if (Troubles::strikes("tail", random))
            events.pop_back();
        else if (Troubles::strikes("two_runs", random))
            renameRun(events, middle);
        else if (Troubles::strikes("two_versions", random))
            renameVersion(events, middle);
        else
            return;
        response.body.clear();
        for (const std::string &event : events)
            response.body += event;
    }

private:
    using Place = std::vector<std::string>::iterator;

    static void renameRun(std::vector<std::string> &events, Place from)
    {
        for (Place event = from; event != events.end(); ++event)
            event->insert(event->size() - 2, "0");
    }

    static void renameVersion(std::vector<std::string> &events, Place from)
    {
        const std::string data = "\ndata: made-by ";
        for (Place event = from; event != events.end(); ++event)
            event->insert(event->find(data) + data.size(), "9");
    }
};

} // namespace Review
