"""The agent: keeps many ingresses running, and their tenants in step with an LDAP directory."""
