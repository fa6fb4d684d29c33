/// \file
/// Keeps secrets out of log lines.
#pragma once

#include <string>
#include <string_view>

namespace gypsumstep::logging {

/// Text that replaces a secret.
inline constexpr std::string_view redacted{"[redacted]"};

/// Replaces \p secret in every later line. Secrets shorter than 8 bytes are not
/// registered, since they would match ordinary words.
void register_secret(std::string secret);

/// \p text with every registered secret replaced.
[[nodiscard]] std::string redact(std::string_view text);

/// True if a field of this name holds a secret, e.g. "password".
[[nodiscard]] bool is_secret_field(std::string_view key);

} // namespace gypsumstep::logging
