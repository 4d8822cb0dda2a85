//! Clients that close or cancel while their requests wait.
