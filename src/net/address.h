#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace dragonflysill::internal {

/** Parses "IP:PORT"; returns std::nullopt for other text. */
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address);

} // namespace dragonflysill::internal
