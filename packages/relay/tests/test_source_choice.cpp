// Tests of the choice between the store and a reader of it: readers that are lost, silent, or
// refused by the store.
#include "gypsumstep/relay/reader_order.h"
#include "gypsumstep/relay/source_choice.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace gypsumstep;
using namespace gypsumstep::relay;

namespace {

const std::vector<std::string> six_readers{"r0", "r1", "r2", "r3", "r4", "r5"};

/// Time after which a call to the store fails that gets no answer.
constexpr duration call_timeout = 1500ms;

/// Daemons of one failure domain. A subscription brings something each second while the reader is
/// up and within reach; a daemon that reads the store fails while the store refuses it.
struct domain {
    std::map<std::string, source_choice> daemons;
    std::map<std::string, source> sources;
    std::set<std::string> silent;                   ///< frozen or cut off from the others
    std::set<std::string> refused;                  ///< by the store
    bool refuses_silently{false};                   ///< a refused call gets no answer
    std::map<std::string, time_point> called_at;    ///< when the first call failed, or began
    std::map<std::string, time_point> confirmed_at; ///< when its contents were the newest
    std::map<std::string, duration> failing;
    std::map<std::string, std::size_t> reads; ///< 100 ms steps in which a daemon read the store
    time_point now{100s};

    explicit domain(std::size_t others)
    {
        std::vector<std::string> names = six_readers;
        for (std::size_t index = 0; index < others; ++index) {
            names.emplace_back("d" + std::to_string(index));
        }
        for (const std::string& name : names) {
            daemons.emplace(name, source_choice{name});
            daemons.at(name).set_readers(six_readers, now);
        }
    }

    void run(duration time)
    {
        constexpr duration step = 100ms;
        for (const time_point end = now + time; now < end; now += step) {
            for (auto& [name, choice] : daemons) {
                run_one(name, choice, step);
            }
        }
    }

    void run_one(const std::string& name, source_choice& choice, duration step)
    {
        if (silent.contains(name)) {
            return;
        }
        const source& current = sources[name] = choice.choose(now);
        const bool fails = current.reads_store && refused.contains(name);
        failing[name] = fails ? failing[name] + step : duration{0};
        if (fails && refuses_silently) {
            const time_point since = called_at.emplace(name, now).first->second;
            failing[name] = now - since >= call_timeout ? now - since : duration{0};
        }
        else {
            called_at.erase(name);
        }
        if (current.reads_store && !fails) {
            confirmed_at[name] = now;
        }
        reads[name] += current.reads_store ? 1 : 0;
        choice.on_own_calls(failing[name]);
        if (current.reader && !silent.contains(*current.reader)) {
            confirmed_at[name] = std::max(confirmed_at[name], confirmed_at[*current.reader]);
            choice.on_message(*current.reader, failing[*current.reader],
                              confirmed_at[*current.reader], now);
        }
    }

    /// Whether the daemon has the store's contents, from the store or from a reader that has.
    [[nodiscard]] bool is_served(const std::string& name) const
    {
        const source& current = sources.at(name);
        if (current.reads_store && !refused.contains(name)) {
            return true;
        }
        return current.reader && !silent.contains(*current.reader) &&
               failing.at(*current.reader) == duration{0};
    }

    [[nodiscard]] std::size_t reading() const
    {
        return static_cast<std::size_t>(
            std::count_if(sources.begin(), sources.end(),
                          [](const auto& entry) { return entry.second.reads_store; }));
    }
};

} // namespace

TEST_CASE("the daemons with the most capacity read the store for their domain")
{
    constexpr int count = 10;
    std::vector<homes::daemon_entry> daemons;
    daemons.reserve(count);
    for (int index = 0; index < count; ++index) {
        daemons.push_back(
            {"d" + std::to_string(index), index < 8 ? "a" : "b", "h", 1, index == 5 ? 500U : 120U});
    }
    const auto readers = readers_of("a", daemons);
    REQUIRE(readers.size() == max_readers);
    CHECK(readers[0].name == "d5");
    CHECK(readers[1].name == "d0");
    CHECK(readers_of("b", daemons).empty()); // too few to share
}

TEST_CASE("without readers a daemon reads the store itself")
{
    source_choice alone{"d0"};
    CHECK(alone.choose(time_point{1s}) == source{std::nullopt, true});
}

TEST_CASE("while all is well only the first readers read the store")
{
    domain site{20};
    site.run(30s);
    CHECK(site.reading() == first_readers);
    CHECK(site.sources.at("d7") == source{"r0", false});
    CHECK(site.sources.at("r4") == source{"r0", false});
}

TEST_CASE("a silent reader is left for the next one")
{
    domain site{20};
    site.run(5s);
    site.silent = {"r0"};
    site.run(source_choice::silence_limit + 200ms);
    CHECK(site.sources.at("d7") == source{"r1", false});
    CHECK(site.reading() <= first_readers);

    site.silent = {"r0", "r1"};
    site.run(source_choice::silence_limit + 1s);
    CHECK(site.sources.at("r2") == source{std::nullopt, true});
    CHECK(site.sources.at("d7") == source{"r2", false});
    CHECK(site.is_served("d7"));
}

TEST_CASE("a reader that the store refuses goes on through another one, and so do the others")
{
    domain site{20};
    site.run(5s);
    site.refused = {"r0"};
    site.run(source_choice::late_failure_limit + 500ms);
    CHECK(site.sources.at("r0") == source{"r1", true});
    for (const auto& [name, choice] : site.daemons) {
        INFO(name);
        CHECK(site.is_served(name));
    }
    site.refused.clear();
    site.run(source_choice::retry_after + 1s);
    CHECK(site.sources.at("r0") == source{std::nullopt, true});
}

TEST_CASE("if the store refuses a third of the daemons, all are served within four seconds")
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        domain site{20};
        site.run(3s);
        std::uint64_t place = seed;
        for (const auto& [name, choice] : site.daemons) {
            place = place * 6364136223846793005ULL + 1442695040888963407ULL;
            if ((place >> 33U) % 3 == 0) {
                site.refused.insert(name);
            }
        }
        site.run(4s);
        INFO("seed " << seed);
        for (const auto& [name, choice] : site.daemons) {
            INFO(name);
            CHECK(site.is_served(name));
        }
    }
}

// CONFIG: the readers of a domain and the daemon that follows them got no answer from the store.
// Each was found out only after a call's timeout, one after the other, and daemons that could have
// read the store themselves had a configuration 7 s after it was confirmed.
TEST_CASE("if the store is silent to a third of the daemons, the others soon have its contents")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        domain site{20};
        site.run(3s);
        site.refuses_silently = true;
        std::uint64_t place = seed;
        for (const auto& [name, choice] : site.daemons) {
            place = place * 6364136223846793005ULL + 1442695040888963407ULL;
            if ((place >> 33U) % 3 == 0) {
                site.refused.insert(name);
            }
        }
        const time_point change = site.now;
        site.run(source_choice::confirmation_limit + 200ms);
        INFO("seed " << seed);
        for (const auto& [name, choice] : site.daemons) {
            INFO(name);
            CHECK((site.refused.contains(name) || site.confirmed_at.at(name) > change));
        }
        // The others are served by a reader, if one is left.
        if (std::all_of(six_readers.begin(), six_readers.end(), [&site](const std::string& reader) {
                return site.refused.contains(reader);
            })) {
            continue;
        }
        site.run(5s);
        for (const auto& [name, choice] : site.daemons) {
            INFO(name);
            CHECK(site.confirmed_at.at(name) > change);
        }
    }
}

TEST_CASE("a daemon whose reader confirms its contents again stops reading the store")
{
    domain site{20};
    site.run(5s);
    site.refuses_silently = true;
    site.refused = {"r0", "r1", "r2", "r3", "r4", "r5"};
    site.run(source_choice::confirmation_limit + 200ms);
    CHECK(site.reading() > max_readers);
    site.refused.clear();
    site.run(30s);
    CHECK(site.reading() == first_readers);
}

TEST_CASE("while the store refuses all, most daemons do not call it")
{
    domain site{40};
    site.run(5s);
    for (const auto& [name, choice] : site.daemons) {
        site.refused.insert(name);
    }
    site.reads.clear();
    site.run(4500ms);
    std::size_t calling = 0;
    for (const auto& [name, steps] : site.reads) {
        calling += steps > 0 ? 1 : 0;
    }
    CHECK(calling <= max_readers);
    site.refused.clear();
    site.run(2s);
    for (const auto& [name, choice] : site.daemons) {
        CHECK(site.is_served(name));
    }
    site.run(30s);
    CHECK(site.reading() == first_readers);
}

TEST_CASE("a reader that cannot be connected to is passed over at once")
{
    source_choice choice{"d0"};
    choice.set_readers(six_readers, time_point{1s});
    CHECK(choice.choose(time_point{1s}).reader == "r0");
    choice.on_lost("r0", time_point{1s});
    CHECK(choice.choose(time_point{1s}).reader == "r1");
    // A connection that brings nothing is given up soon.
    CHECK(choice.choose(time_point{1s} + source_choice::answer_limit).reader == "r2");
    // Messages of a reader that was left do not count.
    choice.on_message("r1", duration{0}, time_point{2s}, time_point{2s});
    CHECK(choice.choose(time_point{2s} + source_choice::answer_limit).reader == "r3");
}

TEST_CASE("when all daemons restart at once, each is served within two seconds")
{
    domain site{20};
    // The first readers start last.
    site.silent = {"r0", "r1"};
    site.run(1500ms);
    site.silent.clear();
    site.run(500ms);
    for (const auto& [name, choice] : site.daemons) {
        INFO(name);
        CHECK(site.is_served(name));
    }
}

// Traffic of large fleets: one reader sent everything to all daemons of its domain.
TEST_CASE("the number of daemons that one reader serves does not grow with the domain")
{
    for (const std::size_t count : {20U, 32U, 50U, 64U, 100U, 300U}) {
        INFO(count << " daemons");
        std::vector<homes::daemon_entry> daemons;
        for (std::size_t index = 0; index < count; ++index) {
            daemons.push_back({"d" + std::to_string(index), "a", "h", 1, index < 2 ? 500U : 120U});
        }
        std::vector<std::string> readers;
        for (const homes::daemon_entry& reader : readers_of("a", daemons)) {
            readers.push_back(reader.name);
        }
        CHECK(readers.size() == first_readers_of(count) + spare_readers);
        std::map<std::string, std::size_t> subscribers;
        std::map<std::string, std::size_t> without_first;
        std::size_t reading = 0;
        for (const homes::daemon_entry& daemon : daemons) {
            source_choice choice{daemon.name};
            choice.set_readers(readers, time_point{1s}, places_for(daemon.name, "a", daemons));
            const source chosen = choice.choose(time_point{1s});
            reading += chosen.reads_store ? 1 : 0;
            subscribers[chosen.reader.value_or("")] += 1;
            choice.on_lost(readers[0], time_point{1s});
            without_first[choice.choose(time_point{1s}).reader.value_or("")] += 1;
        }
        CHECK(reading == first_readers_of(count));
        for (const std::string& reader : readers) {
            CHECK(subscribers[reader] <= daemons_per_reader);
            CHECK(without_first[reader] <= 2 * daemons_per_reader);
        }
        CHECK(without_first[readers[0]] == 0);
    }
}
