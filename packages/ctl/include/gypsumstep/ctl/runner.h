/// \file
/// Runs one command against a daemon.
#pragma once

#include "gypsumstep/ctl/exchange.h"
#include "gypsumstep/ctl/merge_patch.h"
#include "gypsumstep/ctl/patch_file.h"
#include "gypsumstep/ctl/render.h"

#include <ostream>
#include <string>
#include <utility>

namespace gypsumstep::ctl {

/// How often a patch is sent with the same id before its outcome counts as unknown.
inline constexpr int patch_attempts = 4;

/// How long a daemon may work on a patch while the platform is slow.
inline constexpr duration patch_patience = 35s;

/// Pause before a patch is sent again.
inline constexpr duration patch_retry_pause = 500ms;

/// Sends the requests of a command and prints what came of it.
///
/// \tparam Transport carries the requests; tests hand in a fake
template <transport Transport>
class runner {
public:
    /// Results go to \p output, progress and problems to \p messages.
    runner(Transport& carrier, std::ostream& output, std::ostream& messages, bool as_json)
        : m_transport{carrier}, m_output{output}, m_messages{messages}, m_as_json{as_json}
    {
    }

    exit_code run(const command& chosen)
    {
        return std::visit([this](const auto& one) { return this->execute(one); }, chosen);
    }

private:
    using json = nlohmann::json;

    exit_code execute(const show_help& /*chosen*/)
    {
        m_output << help_text();
        return exit_code::ok;
    }

    exit_code execute(const show_status& /*chosen*/)
    {
        return show("/v1/status", [](const json& got) { return render_status(read_status(got)); });
    }

    exit_code execute(const show_report& /*chosen*/) { return show("/v1/report", render_report); }

    exit_code execute(const show_history& /*chosen*/)
    {
        return show("/v1/config/history", render_history);
    }

    exit_code execute(const show_config& chosen)
    {
        return show(config_path(chosen.version), render_config);
    }

    exit_code execute(const diff_config& chosen)
    {
        json from;
        json to;
        exit_code code = fetch(config_path(chosen.from), from);
        if (code == exit_code::ok) {
            code = fetch(config_path(chosen.to), to);
        }
        if (code != exit_code::ok) {
            return code;
        }
        from.erase("version");
        to.erase("version");
        if (m_as_json) {
            m_output << json::diff(from, to).dump(2) << "\n";
            return exit_code::ok;
        }
        const std::string text = render_difference(from, to);
        m_output << (text.empty() ? "no difference\n" : text);
        return exit_code::ok;
    }

    exit_code execute(const patch_config& chosen)
    {
        auto merge = read_patch_file(chosen.file);
        if (!merge) {
            m_messages << merge.error().message << "\n";
            return exit_code::usage;
        }
        return submit({{"base", chosen.base},
                       {"id", chosen.id},
                       {"author", chosen.author},
                       {"reason", chosen.reason},
                       {"merge", std::move(merge.value())}});
    }

    exit_code execute(const rollback_config& chosen)
    {
        json now;
        json then;
        exit_code code = fetch(config_path({}), now);
        if (code == exit_code::ok) {
            code = fetch(config_path(chosen.version), then);
        }
        if (code != exit_code::ok) {
            return code;
        }
        const json base = now.value("version", json{});
        now.erase("version");
        then.erase("version");
        if (now == then) {
            m_messages << "version " << chosen.version << " has the content in force already\n";
            return exit_code::ok;
        }
        return submit({{"base", base},
                       {"id", chosen.id},
                       {"author", chosen.author},
                       {"reason", chosen.reason},
                       {"merge", merge_difference(now, then)}});
    }

    exit_code execute(const promote_server& chosen)
    {
        return act("/v1/promote", {{"group", chosen.group}, {"server", chosen.server}});
    }

    exit_code execute(const drain& chosen)
    {
        json config;
        const exit_code code = fetch(config_path({}), config);
        if (code != exit_code::ok) {
            return code;
        }
        const char* kind = has_server(config, chosen.name) ? "server" : "daemon";
        m_messages << "draining " << kind << " " << chosen.name << "\n";
        return act("/v1/drain", {{kind, chosen.name}});
    }

    exit_code execute(const freeze_group& chosen)
    {
        return act("/v1/freeze", {{"group", chosen.group}, {"frozen", chosen.frozen}});
    }

    exit_code execute(const set_log_level& chosen)
    {
        return act("/v1/log-level", {{"level", chosen.level}});
    }

    static std::string config_path(std::optional<std::uint64_t> version)
    {
        return version ? "/v1/config?version=" + std::to_string(*version) : "/v1/config";
    }

    static bool has_server(const json& config, const std::string& name)
    {
        const json none = json::object();
        for (const json& group : config.value("groups", none)) {
            if (group.value("servers", none).contains(name)) {
                return true;
            }
        }
        return false;
    }

    exit_code fail(const failure& problem)
    {
        m_messages << problem.text << "\n";
        return problem.code;
    }

    exit_code fetch(const std::string& path, json& target)
    {
        const request asked{method::get, path, {}, {}};
        const answer got = m_transport.send(asked);
        if (const auto problem = failure_of(asked, got)) {
            return fail(*problem);
        }
        target = json::parse(got.body, nullptr, false);
        if (!target.is_object()) {
            return fail({exit_code::refused, "the daemon's answer is not a JSON object"});
        }
        return exit_code::ok;
    }

    template <class Render>
    exit_code show(const std::string& path, Render render)
    {
        json got;
        const exit_code code = fetch(path, got);
        if (code == exit_code::ok) {
            m_output << (m_as_json ? got.dump(2) + "\n" : render(got));
        }
        return code;
    }

    void print_result(const answer& got)
    {
        const json body = json::parse(got.body, nullptr, false);
        const bool is_json = m_as_json && !body.is_discarded();
        m_output << (is_json ? body.dump(2) + "\n" : render_result(body));
    }

    exit_code act(const std::string& path, json body)
    {
        const request asked{method::post, path, std::move(body), {}};
        const answer got = m_transport.send(asked);
        if (const auto problem = failure_of(asked, got)) {
            if (problem->code == exit_code::unknown) {
                m_messages << "see `gypsumstepctl status` for what became of it\n";
            }
            return fail(*problem);
        }
        print_result(got);
        return exit_code::ok;
    }

    /// Sends a patch. Its id makes it safe to send again after a lost answer.
    exit_code submit(json body)
    {
        const request asked{method::post, "/v1/config/patch", std::move(body), patch_patience};
        m_messages << "submitting a patch against version " << asked.body.at("base")
                   << "; this may take " << patch_patience / 1s
                   << " s while the platform is slow\n";
        bool may_be_done = false;
        for (int attempt = 1;; ++attempt) {
            const answer got = m_transport.send(asked);
            auto problem = failure_of(asked, got);
            if (!problem) {
                print_result(got);
                return exit_code::ok;
            }
            may_be_done = may_be_done || problem->code == exit_code::unknown;
            const bool is_final =
                got.how == delivery::answered && problem->code == exit_code::refused;
            if (is_final || !may_be_done) {
                return fail(*problem);
            }
            if (attempt == patch_attempts) {
                m_messages << "repeat the command with --id="
                           << asked.body.at("id").template get<std::string>()
                           << " to learn the outcome; it cannot count twice\n";
                return fail({exit_code::unknown, problem->text});
            }
            m_messages << "no answer yet; asking again with the same id (" << attempt + 1 << " of "
                       << patch_attempts << ")\n";
            m_transport.pause(patch_retry_pause);
        }
    }

    Transport& m_transport;
    std::ostream& m_output;
    std::ostream& m_messages;
    bool m_as_json;
};

} // namespace gypsumstep::ctl
