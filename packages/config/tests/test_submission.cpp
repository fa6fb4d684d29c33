// Tests of submissions: refusals, lost answers, and two operators who submit concurrently.
#include "fake_platform.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gypsumstep;
using namespace gypsumstep::config;

namespace {

constexpr duration max_run_time{3'600'000'000LL * 24};

findings accept_all(const json& /*document*/)
{
    return {};
}

findings refuse_negative(const json& document)
{
    findings problems;
    for (const auto& [key, value] : document.items()) {
        if (value.is_number() && value < 0) {
            problems.push_back({{}, "/" + key, "must not be negative"});
        }
    }
    return problems;
}

patch merge(std::string id, std::uint64_t base, json content)
{
    return {
        std::move(id), config_version{base}, patch_kind::merge, std::move(content), "ane", "", 0};
}

struct fixture {
    sim::event_queue queue;
    fake::platform platform{queue, 5};

    submission_outcome run(const patch& change, const validator& validate = accept_all)
    {
        auto job =
            std::make_shared<submission>(change, validate, submission_options{}, random_source{1});
        std::optional<submission_outcome> outcome;
        fake::submit(queue, platform, job, job->start(queue.now()),
                     [&](const submission_outcome& value) { outcome = value; });
        while (!outcome && queue.step()) {
        }
        REQUIRE(outcome.has_value());
        return *outcome;
    }
};

} // namespace

TEST_CASE_METHOD(fixture, "a patch against the version in force becomes the next version")
{
    CHECK(run(merge("a", 0, {{"x", 1}})).version == config_version{1});
    const auto second = run(merge("b", 1, {{"y", 2}}));
    CHECK(second.status == submission_status::accepted);
    CHECK(*second.document == json{{"x", 1}, {"y", 2}});
    CHECK(parse_head(platform.row(head_key).value).value().version == config_version{2});
}

TEST_CASE_METHOD(fixture, "a stale patch is refused and what changed since its base is listed")
{
    run(merge("a", 0, {{"x", 1}}));
    run(merge("b", 1, {{"x", 2}}));
    run(merge("c", 2, {{"x", 3}}));
    const auto late = run(merge("d", 1, {{"x", 9}}));
    CHECK(late.status == submission_status::stale);
    CHECK(late.version == config_version{3});
    REQUIRE(late.since.size() == 2);
    CHECK(late.since[0].change.id == "b");
    CHECK(late.since[1].change.id == "c");
}

TEST_CASE_METHOD(fixture, "an invalid result is refused with every finding, and nothing is stored")
{
    const auto outcome = run(merge("a", 0, {{"x", -1}, {"y", -2}}), refuse_negative);
    CHECK(outcome.status == submission_status::invalid);
    CHECK(outcome.problems.size() == 2);
    CHECK(run(merge("a/b", 0, {})).status == submission_status::invalid);
    CHECK(platform.row(head_key).version == 0);
}

TEST_CASE_METHOD(fixture, "submitting the same patch again returns its version")
{
    run(merge("a", 0, {{"x", 1}}));
    run(merge("b", 1, {{"x", 2}}));
    CHECK(run(merge("a", 0, {{"x", 1}})).version == config_version{1});
    CHECK(run(merge("a", 0, {{"x", 7}})).status == submission_status::invalid);
    CHECK(run(merge("a", 2, {{"x", 1}})).status == submission_status::invalid);
    CHECK(parse_head(platform.row(head_key).value).value().version == config_version{2});
}

TEST_CASE_METHOD(
    fixture, "without an answer the outcome is unavailable until a commit was sent, then unknown")
{
    platform.conditions.down = true;
    CHECK(run(merge("a", 0, {{"x", 1}})).status == submission_status::unavailable);
    platform.conditions.down = false;
    submission job{merge("a", 0, {{"x", 1}}), accept_all, {}, random_source{1}};
    const error lost{error_code::timeout, "lost"};
    CHECK(std::holds_alternative<read_row>(job.start(queue.now())));
    CHECK(std::holds_alternative<store_object>(job.step(row_answer{stored_row{}}, queue.now())));
    CHECK(std::holds_alternative<commit_rows>(
        job.step(stored_answer{std::string{"name"}}, queue.now())));
    CHECK(std::holds_alternative<read_row>(job.step(commit_answer{lost}, queue.now())));
    const auto action = job.step(row_answer{lost}, queue.now() + 1h);
    CHECK(std::get<submission_outcome>(action).status == submission_status::unknown);
}

TEST_CASE("two operators submit 1,000 patches concurrently over lost and late answers")
{
    constexpr std::uint64_t patch_count = 1'000;
    constexpr int patches_per_operator = patch_count / 2;
    const auto seed = GENERATE(range(1, 6));
    sim::event_queue queue;
    fake::platform platform{queue, static_cast<std::uint64_t>(seed)};
    platform.conditions.request_loss = 0.05;
    platform.conditions.answer_loss = 0.15;
    platform.conditions.late_request = 0.05;
    int accepted = 0;
    int stale = 0;
    int unknown = 0;
    std::map<std::string, config_version> versions; // versions as reported to the operators
    std::uint64_t runs = 0;

    std::function<void(std::string, int, std::uint64_t, int)> submit_next =
        [&](const std::string& name, int number, std::uint64_t base, int rebased) {
            if (number == patches_per_operator) {
                return;
            }
            const std::string entry = name + "-" + std::to_string(number);
            // A refused patch is submitted under a new id, as an operator does, so that a patch
            // that was applied in spite of its refusal would appear twice.
            const std::string id = entry + "_" + std::to_string(rebased);
            const json content = base == 0
                                     ? json{{{"op", "add"}, {"path", "/log"}, {"value", {entry}}}}
                                     : json{{{"op", "add"}, {"path", "/log/-"}, {"value", entry}}};
            const patch change{id, config_version{base}, patch_kind::operations, content, name, "",
                               0};
            auto job = std::make_shared<submission>(change, accept_all, submission_options{},
                                                    random_source{++runs});
            fake::submit(queue, platform, job, job->start(queue.now()),
                         [&, name, number, base, rebased, id](const submission_outcome& outcome) {
                             if (outcome.status == submission_status::accepted) {
                                 ++accepted;
                                 versions[id] = outcome.version;
                                 submit_next(name, number + 1, outcome.version.value(), 0);
                                 return;
                             }
                             // A stale patch was not applied: it is rewritten against the version
                             // in force. After other failures it is submitted unchanged.
                             const bool is_stale = outcome.status == submission_status::stale;
                             stale += is_stale ? 1 : 0;
                             unknown += outcome.status == submission_status::unknown ? 1 : 0;
                             REQUIRE(outcome.status != submission_status::invalid);
                             submit_next(name, number, is_stale ? outcome.version.value() : base,
                                         rebased + (is_stale ? 1 : 0));
                         });
        };
    // At intervals every answer is lost for longer than the time limit of a submission.
    std::function<void()> lose_all_answers = [&] {
        platform.conditions.answer_loss = 1.0;
        queue.after(40s, [&] { platform.conditions.answer_loss = 0.15; });
        queue.after(300s, lose_all_answers);
    };
    queue.after(20s, lose_all_answers);
    submit_next("ane", 0, 0, 0);
    submit_next("rui", 0, 0, 0);
    queue.run_until(queue.now() + max_run_time);

    CHECK(accepted == 2 * patches_per_operator);
    CHECK(stale > 0);
    CHECK(unknown > 0);
    const auto head = parse_head(platform.row(head_key).value).value();
    CHECK(head.version == config_version{patch_count});
    const json log = json::parse(platform.object(head.object))["log"];
    REQUIRE(log.size() == versions.size());
    json replayed = json::object();
    std::set<std::string> entries;
    for (std::uint64_t version = 1; version <= head.version.value(); ++version) {
        const auto change =
            parse_change(platform.row(history_key(config_version{version})).value).value();
        CHECK(versions.at(change.change.id) == config_version{version});
        CHECK(change.change.id.starts_with(log[version - 1].get<std::string>() + "_"));
        entries.insert(log[version - 1].get<std::string>());
        replayed = apply_patch(replayed, change.change).value();
    }
    CHECK(replayed["log"] == log);
    CHECK(entries.size() == patch_count);
    WARN("seed " << seed << ": stale " << stale << ", unknown " << unknown << ", requests "
                 << platform.requests());
}
