#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace anvilsaddle {

/// A name of one kind. Distinct tags keep a VM name from being used as a region name.
/// Value type; safe to read from several threads.
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
/// Names one start of a target; a target that starts again usually has another name.
using TargetName = Identifier<struct TargetNameTag>;

} // namespace anvilsaddle

template <typename Tag> struct std::hash<anvilsaddle::Identifier<Tag>> {
  std::size_t operator()(const anvilsaddle::Identifier<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.str());
  }
};
