#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace anvilsaddle {

/// Strongly typed name. Each kind of name has its own tag, so that, for example, a VM name cannot
/// be used as a region name. Value type; safe to read from several threads.
template <typename Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return this->Text; }
  bool empty() const { return this->Text.empty(); }

  auto operator<=>(const Identifier &) const = default;

private:
  std::string Text;
};

using VmName = Identifier<struct VmNameTag>;
using RegionName = Identifier<struct RegionNameTag>;
using FailureDomainName = Identifier<struct FailureDomainNameTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
using RouteName = Identifier<struct RouteNameTag>;
/// Identifies one run of a target; a target usually has another name after a restart.
using TargetName = Identifier<struct TargetNameTag>;
using CustomerName = Identifier<struct CustomerNameTag>;

} // namespace anvilsaddle

template <typename Tag> struct std::hash<anvilsaddle::Identifier<Tag>> {
  std::size_t operator()(const anvilsaddle::Identifier<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.str());
  }
};
