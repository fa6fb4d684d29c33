/// \file
/// Compresses messages between daemons.
#pragma once

#include <QByteArray>

#include <optional>

namespace gypsumstep::edge {

/// Returns the bytes compressed by the deflate algorithm.
[[nodiscard]] QByteArray deflate(const QByteArray& bytes);

/// Returns the bytes that were compressed, or nothing if they are not exactly \p size bytes. Never
/// allocates more than that.
[[nodiscard]] std::optional<QByteArray> inflate(const QByteArray& compressed, qsizetype size);

} // namespace gypsumstep::edge
