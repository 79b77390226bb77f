#include "kernel.h"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace plantain {

void Kernel::Register(const std::string& name, Factory factory) {
  m_names.push_back(name);
  m_factories[name] = std::move(factory);
}

Service& Kernel::GetService(const std::string& name) {
  const auto found = m_services.find(name);
  if (found != m_services.end()) {
    if (found->second == nullptr) FailLookup(name, "depends on itself");
    return *found->second;
  }
  const auto factory = m_factories.find(name);
  if (factory == m_factories.end()) FailLookup(name, "is not registered");
  m_services[name] = nullptr;
  std::unique_ptr<Service> service = factory->second(*this);
  Service& result = *service;
  m_services[name] = std::move(service);
  m_built.push_back(&result);
  return result;
}

absl::Status Kernel::Start() {
  for (const std::string& name : m_names) GetService(name);
  for (Service* service : m_built) {
    absl::Status status = service->Start();
    if (!status.ok()) {
      Stop();
      return status;
    }
    ++m_started;
  }
  return absl::OkStatus();
}

void Kernel::Stop() {
  while (m_started > 0) {
    --m_started;
    m_built[m_started]->Stop();
  }
}

void Kernel::FailLookup(const std::string& name, std::string_view reason) {
  std::cerr << "event=kernel_lookup_failed service=" << name << " reason=\"" << reason << "\"\n";
  std::abort();
}

}  // namespace plantain
