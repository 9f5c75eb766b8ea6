// Connects the HTTP front end to a host. Separate from http_front.cpp, which does not depend on
// Host.
#include "host.h"
#include "http_front.h"

namespace quetzalpaddle {

std::variant<std::shared_ptr<HttpFront>, std::string> startHttpFront(Host &ThisHost,
                                                                     const Settings &S) {
  auto Opened = openHttpFront(
      S.m_Callers, S.m_Front,
      [&ThisHost](CallerRequest Request, std::function<void(CallerAnswer)> Callback) {
        handleRequest(ThisHost, std::move(Request), std::move(Callback));
      },
      ThisHost.m_Metrics);
  if (auto *Front = std::get_if<std::shared_ptr<HttpFront>>(&Opened))
    ThisHost.m_OnKeyInvalidated = [Weak = std::weak_ptr(*Front)](const std::string &KeyId) {
      if (auto Open = Weak.lock())
        closeKeyConnections(*Open, KeyId);
    };
  return Opened;
}

} // namespace quetzalpaddle
