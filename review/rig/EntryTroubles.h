// What happens to the entry processes and to the store of a run.
#pragma once

#include "Callers.h"

namespace Review {

class EntryTroubles
{
public:
    EntryTroubles(Deployment &deployment, std::uint64_t seed, Clock::time_point until)
        : deployment(deployment), seed(seed), until(until)
    {
    }

    // Starts a thread for each trouble that was chosen.
    void begin()
    {
        const std::map<std::string, void (EntryTroubles::*)()> all{
            {"stops", &EntryTroubles::stopInTurn},
            {"node_kill", &EntryTroubles::killInTurn},
            {"node_freeze", &EntryTroubles::freezeInTurn},
            {"platform_down", &EntryTroubles::silenceStore}};
        for (const auto &[name, trouble] : all) {
            if (Troubles::has(name))
                this->threads.emplace_back([this, trouble = trouble] { (this->*trouble)(); });
        }
    }

    void join()
    {
        for (std::thread &thread : this->threads)
            thread.join();
    }

    // Whether the entry ran undisturbed between these moments.
    bool isCalm(std::size_t entry, Clock::time_point from, Clock::time_point to)
    {
        const std::lock_guard lock(this->mutex);
        for (const Span &span : this->spans) {
            if (span.entry == entry && span.from < to && span.to > from)
                return false;
        }
        return true;
    }

    int endedLate = 0;

private:
    struct Span
    {
        std::size_t entry;
        Clock::time_point from;
        Clock::time_point to = Clock::time_point::max();
    };

    void startAgain(std::size_t place)
    {
        Entry &entry = *this->deployment.entries[place];
        entry.start();
        for (int waitedMs = 0; waitedMs < 5000 && !entry.isReady(); waitedMs += 50)
            sleepFor(50);
    }

    std::size_t beginSpan(std::size_t entry)
    {
        const std::lock_guard lock(this->mutex);
        this->spans.push_back({entry, Clock::now()});
        return this->spans.size() - 1;
    }

    void endSpan(std::size_t span)
    {
        const std::lock_guard lock(this->mutex);
        this->spans[span].to = Clock::now();
    }

    // A planned stop is no excuse: it opens no span.
    void stopInTurn()
    {
        for (std::size_t i = 0; Clock::now() < this->until; ++i) {
            const std::size_t place = i % this->deployment.entries.size();
            const std::lock_guard turn(this->turn);
            Entry &entry = *this->deployment.entries[place];
            entry.signal(SIGTERM);
            this->deployment.record.write(entry.name + " is told to stop");
            if (!entry.waitForEnd(8000)) {
                ++this->endedLate;
                entry.signal(SIGKILL);
                entry.waitForEnd(2000);
            }
            this->deployment.record.write(entry.name + " " + entry.ending());
            this->startAgain(place);
            sleepFor(1000);
        }
    }

    void killInTurn()
    {
        Random random(this->seed * 5 + 1);
        while (true) {
            sleepFor(between(random, 1000, 3000));
            if (Clock::now() >= this->until)
                return;
            const std::size_t place = random() % this->deployment.entries.size();
            const std::lock_guard turn(this->turn);
            Entry &entry = *this->deployment.entries[place];
            const std::size_t span = this->beginSpan(place);
            entry.signal(SIGKILL);
            entry.waitForEnd(2000);
            this->deployment.record.write(entry.name + " is killed");
            sleepFor(between(random, 100, 1500));
            this->startAgain(place);
            this->endSpan(span);
        }
    }

    void freezeInTurn()
    {
        Random random(this->seed * 7 + 1);
        while (true) {
            sleepFor(between(random, 1000, 3000));
            if (Clock::now() >= this->until)
                return;
            const std::size_t place = random() % this->deployment.entries.size();
            const std::lock_guard turn(this->turn);
            Entry &entry = *this->deployment.entries[place];
            const std::size_t span = this->beginSpan(place);
            entry.signal(SIGSTOP);
            this->deployment.record.write(entry.name + " is frozen");
            sleepFor(4000);
            entry.signal(SIGCONT);
            this->deployment.record.write(entry.name + " goes on");
            sleepFor(500);
            this->endSpan(span);
        }
    }

    void silenceStore()
    {
        Random random(this->seed * 11 + 1);
        while (true) {
            sleepFor(between(random, 1500, 4000));
            if (Clock::now() >= this->until)
                return;
            this->deployment.record.write("the store falls silent");
            this->deployment.store.cutOff("*");
            sleepFor(between(random, 2000, 5000));
            this->deployment.store.cutOff("");
            this->deployment.record.write("the store answers again");
        }
    }

    Deployment &deployment;
    const std::uint64_t seed;
    const Clock::time_point until;
    std::mutex mutex;
    // One entry at a time.
    std::mutex turn;
    std::vector<Span> spans;
    std::vector<std::thread> threads;
};

} // namespace Review
