"""The operator's configuration: decoded, checked, routed by."""
