#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace dragonflysill::internal {

/** Parses "IP:PORT"; returns nothing if the text has another form. */
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address);

} // namespace dragonflysill::internal
