/// \file
/// Logs as JSON lines: one object a line with time, level, component, message and fields.
///
/// All functions may be called from any thread. Nothing is written before start().
#pragma once

#include "gypsumstep/base/error.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace gypsumstep::logging {

/// Severity of a line, in ascending order; a threshold also admits all later levels.
enum class level : std::uint8_t { trace, debug, info, warn, error, off };

/// The level's name in settings and lines, e.g. "info".
[[nodiscard]] const char* to_string(level value);

/// The level of this name; nothing if the name is unknown.
[[nodiscard]] std::optional<level> parse_level(std::string_view name);

/// The value of a field.
using field_value =
    std::variant<std::string_view, const char*, bool, std::int64_t, std::uint64_t, double>;

/// One named value of a line, e.g. {"request_id", id.value()}.
struct field {
    std::string_view key;
    field_value value;
};

/// Receives each finished line without its line break.
using line_sink = std::function<void(std::string_view)>;

/// Where lines are written to, and from which level on.
struct options {
    level threshold{level::info};
    std::string file; ///< appended to; empty: standard error
    line_sink sink;   ///< used instead of the file; calls do not overlap
};

/// Starts or restarts logging; fails if the file cannot be opened.
[[nodiscard]] result<void> start(const options& log_options);

/// Flushes and ends logging.
void stop();

/// Changes at run time which lines are written.
void set_level(level threshold);

/// The threshold from which on lines are written.
[[nodiscard]] level current_level();

/// Writes the lines of one component.
class logger {
public:
    /// \p component appears in every line, e.g. "mesh".
    explicit logger(const std::string& component);

    /// True if a line of this level would be written.
    [[nodiscard]] static bool enabled(level severity) { return severity >= current_level(); }

    /// Writes a line. Secrets that were registered are replaced in all strings, and so are
    /// values whose key is the name of a secret.
    void log(level severity, std::string_view message, std::span<const field> fields) const;

    void log(level severity, std::string_view message,
             std::initializer_list<field> fields = {}) const
    {
        log(severity, message, std::span{fields.begin(), fields.size()});
    }

    void trace(std::string_view message, std::initializer_list<field> fields = {}) const
    {
        log(level::trace, message, fields);
    }
    void debug(std::string_view message, std::initializer_list<field> fields = {}) const
    {
        log(level::debug, message, fields);
    }
    void info(std::string_view message, std::initializer_list<field> fields = {}) const
    {
        log(level::info, message, fields);
    }
    void warn(std::string_view message, std::initializer_list<field> fields = {}) const
    {
        log(level::warn, message, fields);
    }
    void error(std::string_view message, std::initializer_list<field> fields = {}) const
    {
        log(level::error, message, fields);
    }

private:
    struct implementation;
    std::shared_ptr<const implementation> m_implementation;
};

} // namespace gypsumstep::logging
